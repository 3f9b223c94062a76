package relay

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
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
				s := newTLSSite(b, func(_ *tlsSite, h *operatorconfig.Handshakes) { h.CPUShare, h.BurstMS, h.MaxParallel = 1, 1000, 64 })
				w = &transport{site: s, cfg: &tls.Config{Certificates: []tls.Certificate{s.own.TLSCertificate()}}}
			}
			var addr string
			handle := func(c net.Conn) {
				for in := bufio.NewReader(c); readRequest(in); {
					io.WriteString(c, okResponse)
				}
			}
			if w.site == nil {
				addr = serveTCP(b, handle)
			} else {
				addr = serveTLS(b, w.cfg, handle)
			}
			p := NewPool(1500*time.Millisecond, 9*time.Second, 200)
			h := w.endpoint(p, addr)
			call := func() {
				newTestCall().Do(h, &record{ID: "m", Body: body}, testLimit, nil, func(o Result) {
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
