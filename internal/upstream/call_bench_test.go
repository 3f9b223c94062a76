package upstream

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// BenchmarkCalls is calls on kept connections, 64 at a time: a second, and
// processor time of both sides. The moment before a call's last byte is there as
// in service.
func BenchmarkCalls(b *testing.B) {
	body := make([]byte, 200)
	for name, w := range map[string]*transport{"plain": {}, "tls 1.3": nil} {
		b.Run(name, func(b *testing.B) {
			if w == nil {
				s := upstreamtest.NewTLSSite(b, func(_ *upstreamtest.TLSSite, h *operatorconfig.Handshakes) {
					h.CPUShare, h.BurstMS, h.MaxParallel = 1, 1000, 64
				})
				w = &transport{site: s, config: s.ServerConfig()}
			}
			var addr string
			handle := func(c net.Conn) {
				for in := bufio.NewReader(c); upstreamtest.ReadRequest(in); {
					io.WriteString(c, upstreamtest.OKResponse)
				}
			}
			if w.site == nil {
				addr = upstreamtest.ServeTCP(b, handle)
			} else {
				addr = upstreamtest.ServeTLS(b, w.config, handle)
			}
			p := newTestPool(200)
			h := w.open(p, addr)
			call := func() {
				newTestCall().Do(h, Request{ID: "m", Body: body, Timeout: testTimeout}, func(o Result) {
					if o.Outcome != policy.Delivered {
						b.Errorf("got %+v", o)
					}
				})
			}
			run := func(n int) {
				var wg sync.WaitGroup
				work := make(chan struct{}, n)
				for range n {
					work <- struct{}{}
				}
				close(work)
				for range 64 {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for range work {
							call()
						}
					}()
				}
				wg.Wait()
			}
			run(256) // connections
			cpu := func() time.Duration {
				var u syscall.Rusage
				syscall.Getrusage(syscall.RUSAGE_SELF, &u)
				return time.Duration(u.Utime.Nano() + u.Stime.Nano())
			}
			began := cpu()
			b.ResetTimer()
			run(b.N)
			b.StopTimer()
			b.ReportMetric(float64(cpu()-began)/float64(b.N)/1e3, "cpu-us/call")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			h.Close()
		})
	}
}
