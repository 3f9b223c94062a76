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

// open opens connections that ask one PING each.
func (r *relay) open(n int) (all []net.Conn, failed error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next atomic.Int64
	for range openers {
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
					if _, err = ask(c, bufio.NewReaderSize(c, 16), ping, 5*time.Second); err != nil {
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
	from = net.IPv4(from[0], from[1]^1, from[2], byte(1+i/perSource))
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: 5 * time.Second}
	c, err := d.Dial("tcp4", r.addr)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		d.LocalAddr = nil // where the rest of 127.0.0.0/8 is not set up
		c, err = d.Dial("tcp4", r.addr)
	}
	return c, err
}

// load has clients ask one message after another.
func (r *relay) load(ctx context.Context, o *Options, x *Result) {
	x.Answers = histogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	taken, late := 0, 0
	cpu, calls, begun := r.cpu(), r.partner.calls.Load(), time.Now()
	end := begun.Add(o.Length)
	for i := range o.Active {
		wg.Add(1)
		go func() {
			defer wg.Done()
			own := histogram()
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
				s, err := ask(c, in, put(fmt.Sprintf("l%d-%d", i, n)), 5*time.Second)
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
			x.Answers.Merge(own)
			taken, late, x.Refused = taken+ok, late+tooLate, x.Refused+busy
		}()
	}
	wg.Wait()
	took := time.Since(begun)
	x.PerSecond = float64(taken) / took.Seconds()
	x.Delivered = float64(r.partner.calls.Load()-calls) / took.Seconds()
	x.CPU = (r.cpu() - cpu).Seconds() / took.Seconds()
	if n := x.Answers.TotalCount(); n > 0 {
		x.LateShare = float64(late) / float64(n)
	}
}

// wake has every idle connection ask within one second.
func (r *relay) wake(ctx context.Context, o *Options, idle []net.Conn) *Wake {
	w := &Wake{Asked: len(idle), Answers: histogram()}
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
			s, err := ask(c, bufio.NewReaderSize(c, 64), put(fmt.Sprintf("w%d", i)), 20*time.Second)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				w.Closed++
				return
			}
			_ = w.Answers.RecordValue(took.Microseconds()) // beyond the range it is left out
			if took > o.Patience {
				w.Late++
			}
			switch {
			case s == "+OK":
				w.Taken++
			case strings.HasPrefix(s, "-BUSY"):
				w.Refused++
				if len(s) > len("-BUSY ") {
					w.WithTime++
				}
			}
		}()
	}
	wg.Wait()
	w.Took = time.Since(begun)
	return w
}
