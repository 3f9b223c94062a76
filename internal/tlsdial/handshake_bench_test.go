package tlsdial

import (
	"context"
	"crypto/tls"
	"crypto/x509"
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

func processCPUTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// acquire waits for the budget and returns a permit for a handshake.
func acquire(b *testing.B, e *Endpoint) *Permit {
	b.Helper()
	for {
		permit, retryAt, err := e.Acquire(false, false)
		if err != nil {
			b.Fatal(err)
		}
		if permit != nil {
			return permit
		}
		time.Sleep(time.Until(retryAt))
	}
}

// dial connects without TLS.
func dial(b *testing.B, addr string) net.Conn {
	b.Helper()
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// readOneByte reads the byte that the server sends after its sessions.
func readOneByte(b *testing.B, conn net.Conn) {
	b.Helper()
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		b.Fatal(err)
	}
}

// reset closes a connection with a reset, which leaves no port in TIME_WAIT.
func reset(b *testing.B, raw net.Conn) {
	b.Helper()
	if err := raw.(*net.TCPConn).SetLinger(0); err != nil {
		b.Fatal(err)
	}
	if err := raw.Close(); err != nil {
		b.Fatal(err)
	}
}

func microseconds(total time.Duration, n int) float64 { return float64(total) / float64(n) / 1e3 }

// BenchmarkHandshake measures handshakes per second with client and server on the same
// cores (-cpu 1), for this package and for the client of crypto/tls with the same
// certificates. For this package it also measures the client's CPU time per handshake, in
// the way that the handshake budget does.
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
		leaf, err := testca.Issue(root, serverName, key)
		if err != nil {
			b.Fatal(err)
		}
		roots, _, err := root.WriteFiles(b.TempDir(), "roots", false)
		if err != nil {
			b.Fatal(err)
		}
		for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
			for _, resumed := range []bool{false, true} {
				addr := startTLSServer(b, &tls.Config{
					Certificates:           []tls.Certificate{leaf.TLSCertificate()},
					MinVersion:             version,
					MaxVersion:             version,
					SessionTicketsDisabled: !resumed,
				})
				name := fmt.Sprintf("%s/%s/resumed=%v", kind, tls.VersionName(version), resumed)
				b.Run(name+"/ours", func(b *testing.B) { benchmarkDialer(b, addr, roots, resumed) })
				b.Run(name+"/crypto-tls", func(b *testing.B) { benchmarkCryptoTLS(b, addr, root.RootPool()) })
			}
		}
	}
}

func benchmarkDialer(b *testing.B, addr, roots string, resumed bool) {
	rule := operatorconfig.TLSRule{Name: "pay", Destinations: []int{1}, ServerName: serverName, Roots: roots}
	d, err := New(Options{
		Rules:      []operatorconfig.TLSRule{rule},
		Handshakes: operatorconfig.Handshakes{CPUShare: 1, BurstMS: 1000},
		Log:        slog.New(slog.DiscardHandler),
		OnRejected: func(uint64, time.Duration) {},
	})
	if err != nil {
		b.Fatal(err)
	}
	e := d.Endpoint(1, 1, "", nil)
	var clientTime time.Duration
	start := processCPUTime(b)
	for range b.N {
		permit, raw := acquire(b, e), dial(b, addr)
		before := threadCPUTime()
		runtime.LockOSThread()
		c, err := permit.Handshake(context.Background(), raw)
		clientTime += threadCPUTime() - before
		runtime.UnlockOSThread()
		if err != nil {
			b.Fatal(err)
		}
		readOneByte(b, c)
		if b.N > 1 && resumed != c.Resumed && d.counts.Full > 1 {
			b.Fatalf("Handshake: Resumed = %v, want %v", c.Resumed, resumed)
		}
		reset(b, c.Raw())
	}
	b.ReportMetric(microseconds(processCPUTime(b)-start, b.N), "cpu-us/both")
	b.ReportMetric(microseconds(clientTime, b.N), "cpu-us/ours")
}

func benchmarkCryptoTLS(b *testing.B, addr string, roots *x509.CertPool) {
	config := &tls.Config{
		RootCAs:            roots,
		ServerName:         serverName,
		ClientSessionCache: tls.NewLRUClientSessionCache(16),
	}
	start := processCPUTime(b)
	for range b.N {
		c, err := tls.Dial("tcp", addr, config)
		if err != nil {
			b.Fatal(err)
		}
		readOneByte(b, c)
		reset(b, c.NetConn())
	}
	b.ReportMetric(microseconds(processCPUTime(b)-start, b.N), "cpu-us/both")
}

// heapInUse returns the memory of heap and stacks in bytes, after a garbage collection.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkConnectionMemory measures the memory of an open connection in a process that
// holds both of its ends.
func BenchmarkConnectionMemory(b *testing.B) {
	s := newTestSite(b)
	const connections = 500
	addr := startTLSServer(b, &tls.Config{Certificates: []tls.Certificate{s.certificate.TLSCertificate()}})
	for range b.N {
		e := s.newDialer(b).Endpoint(1, 1, "", nil)
		before := heapInUse()
		var open []*Conn
		for range connections {
			c, err := acquire(b, e).Handshake(context.Background(), dial(b, addr))
			if err != nil {
				b.Fatal(err)
			}
			readOneByte(b, c)
			open = append(open, c)
		}
		b.ReportMetric((heapInUse()-before)/connections/1024, "KB/both-ends")
		for _, c := range open {
			_ = c.Raw().Close()
		}
	}
}
