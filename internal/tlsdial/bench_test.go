package tlsdial

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
)

func processCPUTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHandshake is handshakes a second with both sides on the cores given
// (-cpu 1), ours and crypto/tls's own client on the same certificates, and what
// one takes of our side's processor time by the budget's own meter.
func BenchmarkHandshake(b *testing.B) {
	for _, kind := range []testca.KeyKind{testca.P256, testca.RSA2048, testca.Ed25519} {
		root, err := testca.Issue(nil, "root", nil, testca.AsAuthority)
		if err != nil {
			b.Fatal(err)
		}
		key, err := testca.NewKey(kind)
		if err != nil {
			b.Fatal(err)
		}
		own, err := testca.Issue(root, serverName, key)
		if err != nil {
			b.Fatal(err)
		}
		roots, _, err := root.WriteFiles(b.TempDir(), "roots", false)
		if err != nil {
			b.Fatal(err)
		}
		for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
			for _, resumed := range []bool{false, true} {
				addr := startTLSServer(b, &tls.Config{Certificates: []tls.Certificate{own.TLSCertificate()}, MinVersion: version, MaxVersion: version, SessionTicketsDisabled: !resumed})
				what := fmt.Sprintf("%s/%s/resumed=%v", kind, tls.VersionName(version), resumed)
				b.Run(what+"/ours", func(b *testing.B) {
					p, err := New(Options{Rules: []operatorconfig.TLSRule{{Name: "pay", Destinations: []int{1}, ServerName: serverName, Roots: roots}},
						Handshakes: operatorconfig.Handshakes{CPUShare: 1, BurstMS: 1000}, Log: slog.New(slog.DiscardHandler), OnRejected: func(uint64, time.Duration) {}})
					if err != nil {
						b.Fatal(err)
					}
					e := p.Endpoint(1, 1, "", nil)
					var own time.Duration
					began := processCPUTime()
					for range b.N {
						turn, at, err := e.Acquire(false, false)
						for turn == nil && err == nil { // the budget is paid back
							time.Sleep(time.Until(at))
							turn, at, err = e.Acquire(false, false)
						}
						raw, err := net.Dial("tcp", addr)
						if err != nil {
							b.Fatal(err)
						}
						was := threadCPUTime()
						runtime.LockOSThread()
						c, err := turn.Handshake(context.Background(), raw)
						own += threadCPUTime() - was
						runtime.UnlockOSThread()
						if err != nil {
							b.Fatal(err)
						}
						io.ReadFull(c, make([]byte, 1))
						if b.N > 1 && resumed != c.Resumed && p.counts.Full > 1 {
							b.Fatalf("resumed %v", c.Resumed)
						}
						c.Raw().(*net.TCPConn).SetLinger(0)
						c.Raw().Close()
					}
					b.ReportMetric(float64(processCPUTime()-began)/float64(b.N)/1e3, "cpu-us/both")
					b.ReportMetric(float64(own)/float64(b.N)/1e3, "cpu-us/ours")
				})
				b.Run(what+"/crypto-tls", func(b *testing.B) {
					cfg := &tls.Config{RootCAs: root.RootPool(), ServerName: serverName, ClientSessionCache: tls.NewLRUClientSessionCache(16)}
					began := processCPUTime()
					for range b.N {
						c, err := tls.Dial("tcp", addr, cfg)
						if err != nil {
							b.Fatal(err)
						}
						io.ReadFull(c, make([]byte, 1))
						c.NetConn().(*net.TCPConn).SetLinger(0)
						c.NetConn().Close()
					}
					b.ReportMetric(float64(processCPUTime()-began)/float64(b.N)/1e3, "cpu-us/both")
				})
			}
		}
	}
}

// BenchmarkConnectionMemory is what an open connection costs the process that holds both of
// its ends, and of that what crypto/tls holds for the partner's end.
func BenchmarkConnectionMemory(b *testing.B) {
	s := newTestSite(b)
	const n = 500
	addr := startTLSServer(b, &tls.Config{Certificates: []tls.Certificate{s.certificate.TLSCertificate()}})
	for range b.N {
		p := s.newDialer(b)
		e := p.Endpoint(1, 1, "", nil)
		heap := func() float64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&m)
			return float64(m.HeapInuse + m.StackInuse)
		}
		before := heap()
		var conns []*Conn
		for range n {
			for {
				turn, at, err := e.Acquire(false, false)
				if err != nil {
					b.Fatal(err)
				}
				if turn == nil {
					time.Sleep(time.Until(at))
					continue
				}
				raw, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				c, err := turn.Handshake(context.Background(), raw)
				if err != nil {
					b.Fatal(err)
				}
				io.ReadFull(c, make([]byte, 1))
				conns = append(conns, c)
				break
			}
		}
		b.ReportMetric((heap()-before)/n/1024, "KB/both-ends")
		for _, c := range conns {
			c.Raw().Close()
		}
	}
}
