package idlebench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/emulator/loopback"
)

// openIdle opens connections that ask one PING each.
func (r *relay) openIdle(n int) (all []net.Conn, failed error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next atomic.Int64
	for range openConcurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				c, err := r.dial(i)
				if err == nil {
					if _, err = roundTrip(c, bufio.NewReaderSize(c, 16), pingCommand, 5*time.Second); err != nil {
						_ = c.Close()
					}
				}
				if err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					continue
				}
				_ = c.SetDeadline(time.Time{}) // a closed one is counted when it is asked
				mu.Lock()
				all = append(all, c)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return all, failed
}

// dial connects from the address that the number's turn it is.
func (r *relay) dial(i int) (net.Conn, error) {
	from := net.ParseIP(loopback.Host()).To4()
	from = net.IPv4(from[0], from[1]^1, from[2], byte(1+i/maxConnectionsPerSource))
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: 5 * time.Second}
	c, err := d.Dial("tcp4", r.addr)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		d.LocalAddr = nil // where the rest of 127.0.0.0/8 is not set up
		c, err = d.Dial("tcp4", r.addr)
	}
	return c, err
}

// runClients has clients ask one message after another.
func (r *relay) runClients(ctx context.Context, o *Options, x *Result) {
	x.ReplyLatency = newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	taken, late := 0, 0
	cpu, calls, begun := r.cpuTime(), r.endpoint.calls.Load(), time.Now()
	end := begun.Add(o.Length)
	for i := range o.ActiveClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			own := newHistogram()
			ok, busy, tooLate := 0, 0, 0
			var c net.Conn
			var in *bufio.Reader
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				if c == nil {
					var err error
					if c, err = r.dial(o.Idle + i); err != nil {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					in = bufio.NewReader(c)
				}
				at := time.Now()
				s, err := roundTrip(c, in, submitCommand(fmt.Sprintf("l%d-%d", i, n)), 5*time.Second)
				if err != nil {
					_ = c.Close()
					c = nil
					continue
				}
				took := time.Since(at)
				_ = own.RecordValue(took.Microseconds()) // within the 5 s of ask
				if took > o.Patience {
					tooLate++
				}
				if s == "+OK" {
					ok++
				} else {
					busy++
				}
			}
			if c != nil {
				_ = c.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			x.ReplyLatency.Merge(own)
			taken, late, x.Rejected = taken+ok, late+tooLate, x.Rejected+busy
		}()
	}
	wg.Wait()
	took := time.Since(begun)
	x.AcceptedPerSecond = float64(taken) / took.Seconds()
	x.DeliveredPerSecond = float64(r.endpoint.calls.Load()-calls) / took.Seconds()
	x.RelayCores = (r.cpuTime() - cpu).Seconds() / took.Seconds()
	if n := x.ReplyLatency.TotalCount(); n > 0 {
		x.LateShare = float64(late) / float64(n)
	}
}

// runBurst has every idle connection ask within one second.
func (r *relay) runBurst(ctx context.Context, o *Options, idle []net.Conn) *BurstResult {
	w := &BurstResult{Sent: len(idle), ReplyLatency: newHistogram()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now().Add(200 * time.Millisecond)
	runtime.GC()
	for i, c := range idle {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(begun.Add(time.Second * time.Duration(i) / time.Duration(len(idle)))))
			at := time.Now()
			s, err := roundTrip(c, bufio.NewReaderSize(c, 64), submitCommand(fmt.Sprintf("w%d", i)), 20*time.Second)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				w.Closed++
				return
			}
			_ = w.ReplyLatency.RecordValue(took.Microseconds()) // beyond the range it is left out
			if took > o.Patience {
				w.Late++
			}
			switch {
			case s == "+OK":
				w.Accepted++
			case strings.HasPrefix(s, "-BUSY"):
				w.Rejected++
				if len(s) > len("-BUSY ") {
					w.RejectedWithTime++
				}
			}
		}()
	}
	wg.Wait()
	w.Duration = time.Since(begun)
	return w
}
