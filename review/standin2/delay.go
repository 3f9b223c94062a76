package main

import (
	"net"
	"time"
)

// delayed starts a proxy to an address, through which bytes take some time in each direction, and returns its address.
func delayed(addr string, oneWay time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				near.Close()
				continue
			}
			go forward(near, far, oneWay)
			go forward(far, near, oneWay)
		}
	}()
	return listener.Addr().String()
}

type delayedBytes struct {
	due  time.Time
	text []byte
}

// forward passes bytes on after a delay, and the end of the connection as well.
func forward(from, to net.Conn, oneWay time.Duration) {
	queue := make(chan delayedBytes, 1024)
	go func() {
		for b := range queue {
			time.Sleep(time.Until(b.due))
			if b.text == nil {
				break
			}
			if _, err := to.Write(b.text); err != nil {
				break
			}
		}
		to.Close()
		for range queue { // until from has ended too
		}
	}()
	for {
		text := make([]byte, 16<<10)
		n, err := from.Read(text)
		if n > 0 {
			queue <- delayedBytes{time.Now().Add(oneWay), text[:n]}
		}
		if err != nil {
			queue <- delayedBytes{time.Now().Add(oneWay), nil}
			close(queue)
			return
		}
	}
}
