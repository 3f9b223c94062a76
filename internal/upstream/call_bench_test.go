package upstream

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// BenchmarkCalls sends calls on kept connections, 64 at a time. It reports calls per second
// and the CPU time of relay and endpoint together. The delay of the stale check before a
// call's last byte is the default one.
func BenchmarkCalls(b *testing.B) {
	body := make([]byte, 200)
	for name, tr := range map[string]*transport{"plain": {}, "tls 1.3": nil} {
		b.Run(name, func(b *testing.B) {
			if tr == nil {
				site := upstreamtest.NewTLSSite(
					b,
					func(_ *upstreamtest.TLSSite, handshakes *operatorconfig.Handshakes) {
						handshakes.CPUShare, handshakes.BurstMS, handshakes.MaxParallel = 1, 1000, 64
					},
				)
				tr = &transport{site: site, config: site.ServerConfig()}
			}
			endpoint := tr.open(newTestPool(200), tr.serve(b, upstreamtest.ServeOK))
			call := func() {
				newTestCall().Do(endpoint, Request{ID: "m", Body: body, Timeout: testTimeout}, func(result Result) {
					if result.Outcome != policy.Delivered {
						b.Errorf("Call.Do reported %+v, want outcome Delivered", result)
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
			run(256) // open the connections before the measurement
			cpu := func() time.Duration {
				var usage syscall.Rusage
				if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
					b.Fatal(err)
				}
				return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
			}
			start := cpu()
			b.ResetTimer()
			run(b.N)
			b.StopTimer()
			b.ReportMetric(float64(cpu()-start)/float64(b.N)/1e3, "cpu-us/call")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			endpoint.Close()
		})
	}
}
