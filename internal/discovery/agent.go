package discovery

import (
	"context"
	"net"
	"net/http"
	"time"

	"troutusher/internal/mailbox"
)

// Paths at the agent.
const (
	ListPath    = "/registry/instances"
	NoticesPath = "/reports"
)

const (
	responseTimeout = time.Second // notices are answered at once, or the agent is down
	idleConnTimeout = 30 * time.Second
)

// newAgentClient makes an HTTP client for the agent: few idle connections, no proxy,
// HTTP/1.1 alone, no redirects.
func newAgentClient(conns int) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: responseTimeout}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: responseTimeout,
			IdleConnTimeout:       idleConnTimeout,
			DisableCompression:    true,
			Protocols:             protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// agentAddress is the agent's address, which may change while work uses it.
type agentAddress struct {
	initial string
	changes *mailbox.Mailbox[string] // the empty string begins again at the same address
}

func newAgentAddress(initial string) agentAddress {
	return agentAddress{initial: initial, changes: mailbox.New[string]()}
}

func (a *agentAddress) set(address string) { a.changes.Put(address) }

// restart has work begin again at the same address.
func (a *agentAddress) restart() { a.changes.Put("") }

// run runs work for one address after another until ctx ends, each until the next is
// set. work must return when its context ends: two addresses are never used at once.
func (a *agentAddress) run(ctx context.Context, work func(ctx context.Context, address string)) {
	address := a.initial
	for ctx.Err() == nil {
		workCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			work(workCtx, address)
		}()
		select {
		case <-ctx.Done():
		case <-a.changes.Ready():
		}
		cancel()
		<-done
		for _, next := range a.changes.TakeAll(nil) {
			if next != "" {
				address = next
			}
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
