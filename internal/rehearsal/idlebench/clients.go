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

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/loopback"
)

const (
	openConcurrency         = 64     // idle connections that are opened at the same time
	maxConnectionsPerSource = 10_000 // connections per source address, so that its ports suffice
	openTimeout             = 5 * time.Second
	replyTimeout            = 5 * time.Second
	redialDelay             = 5 * time.Millisecond // of an active client whose dial failed

	burstLength       = time.Second            // over which the messages of a burst are spread
	burstLeadIn       = 200 * time.Millisecond // before a burst, for its goroutines to start
	burstReplyTimeout = 20 * time.Second

	idleBufferSize  = 16 // enough to read a PONG
	burstBufferSize = 64 // enough to read the reply to a submission

	replyOK   = "+OK"
	replyBusy = "-BUSY"
)

// openIdle opens n connections, each of which sends one PING. It returns the connections that
// could be opened, and the error of the last one that could not.
func (r *relay) openIdle(n int) (conns []net.Conn, lastErr error) {
	var mu sync.Mutex
	var openers sync.WaitGroup
	var next atomic.Int64
	for range openConcurrency {
		openers.Add(1)
		go func() {
			defer openers.Done()
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				conn, err := r.openOne(i)
				mu.Lock()
				if err != nil {
					lastErr = err
				} else {
					conns = append(conns, conn)
				}
				mu.Unlock()
			}
		}()
	}
	openers.Wait()
	return conns, lastErr
}

// openOne opens a connection, sends one PING and reads the reply. index selects the source
// address.
func (r *relay) openOne(index int) (net.Conn, error) {
	conn, err := r.dial(index)
	if err != nil {
		return nil, err
	}
	if _, err := roundTrip(conn, bufio.NewReaderSize(conn, idleBufferSize), pingCommand, openTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{}) // if the connection is closed, runBurst counts that
	return conn, nil
}

// dial connects to the relay. Up to maxConnectionsPerSource connections share a source address,
// because one address has too few ports for all.
func (r *relay) dial(index int) (net.Conn, error) {
	host := net.ParseIP(loopback.Host()).To4()
	source := net.IPv4(host[0], host[1]^1, host[2], byte(1+index/maxConnectionsPerSource))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, Timeout: openTimeout}
	conn, err := dialer.Dial("tcp4", r.addr)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		dialer.LocalAddr = nil // other addresses of 127.0.0.0/8 may not be available on this host
		conn, err = dialer.Dial("tcp4", r.addr)
	}
	return conn, err
}

// clientCounts counts the replies to active clients.
type clientCounts struct {
	accepted, rejected, late int                     // late ones are also counted as accepted or rejected
	latency                  *hdrhistogram.Histogram // µs
}

func (c *clientCounts) add(other *clientCounts) {
	c.accepted += other.accepted
	c.rejected += other.rejected
	c.late += other.late
	c.latency.Merge(other.latency)
}

// runClients runs the active clients for options.Length, and stores their counts and rates and
// the relay's CPU use in result.
func (r *relay) runClients(ctx context.Context, options *Options, result *Result) {
	total := clientCounts{latency: newHistogram()}
	var mu sync.Mutex
	var clients sync.WaitGroup
	cpu, calls, start := r.cpuTime(), r.endpoint.calls.Load(), time.Now()
	end := start.Add(options.Length)
	for i := range options.ActiveClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			counts := r.runClient(ctx, options, i, end)
			mu.Lock()
			defer mu.Unlock()
			total.add(counts)
		}()
	}
	clients.Wait()
	elapsed := time.Since(start).Seconds()
	result.ReplyLatency, result.Rejected = total.latency, total.rejected
	result.AcceptedPerSecond = float64(total.accepted) / elapsed
	result.DeliveredPerSecond = float64(r.endpoint.calls.Load()-calls) / elapsed
	result.RelayCores = (r.cpuTime() - cpu).Seconds() / elapsed
	if replies := total.latency.TotalCount(); replies > 0 {
		result.LateShare = float64(total.late) / float64(replies)
	}
}

// runClient sends one message after another over one connection until end. It reconnects after a
// failed round trip.
func (r *relay) runClient(ctx context.Context, options *Options, index int, end time.Time) *clientCounts {
	counts := &clientCounts{latency: newHistogram()}
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = r.dial(options.Idle + index); err != nil {
				time.Sleep(redialDelay)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		start := time.Now()
		reply, err := roundTrip(conn, reader, submitCommand(fmt.Sprintf("l%d-%d", index, n)), replyTimeout)
		if err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		elapsed := time.Since(start)
		_ = counts.latency.RecordValue(elapsed.Microseconds()) // no error: replyTimeout is within the histogram's range
		if elapsed > options.LateAfter {
			counts.late++
		}
		if reply == replyOK {
			counts.accepted++
		} else {
			counts.rejected++
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
	return counts
}

// runBurst sends one message over each idle connection, spread evenly over burstLength.
func (r *relay) runBurst(options *Options, idle []net.Conn) *BurstResult {
	result := &BurstResult{Sent: len(idle), ReplyLatency: newHistogram()}
	var mu sync.Mutex
	var clients sync.WaitGroup
	start := time.Now().Add(burstLeadIn)
	runtime.GC()
	for i, conn := range idle {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Until(start.Add(burstLength * time.Duration(i) / time.Duration(len(idle)))))
			sent := time.Now()
			reader := bufio.NewReaderSize(conn, burstBufferSize)
			reply, err := roundTrip(conn, reader, submitCommand(fmt.Sprintf("w%d", i)), burstReplyTimeout)
			elapsed := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			result.add(reply, err, elapsed, options.LateAfter)
		}()
	}
	clients.Wait()
	result.Duration = time.Since(start)
	return result
}

// add counts the reply to one message of a burst, or its error. A reply that took longer than lateAfter
// counts as late.
func (b *BurstResult) add(reply string, err error, elapsed, lateAfter time.Duration) {
	if err != nil {
		b.Closed++
		return
	}
	_ = b.ReplyLatency.RecordValue(elapsed.Microseconds()) // a value beyond the histogram's range is dropped
	if elapsed > lateAfter {
		b.Late++
	}
	switch {
	case reply == replyOK:
		b.Accepted++
	case strings.HasPrefix(reply, replyBusy):
		b.Rejected++
		if len(reply) > len(replyBusy+" ") {
			b.RejectedWithRetryAfter++
		}
	}
}
