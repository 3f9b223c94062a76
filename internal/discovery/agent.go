package discovery

import (
	"context"
	"net"
	"net/http"
	"time"

	"troutusher/internal/mailbox"
)

// URL paths of the agent.
const (
	ListPath    = "/registry/instances"
	NoticesPath = "/reports"
)

const (
	responseTimeout = time.Second // the agent answers notices at once, or it is down
	idleConnTimeout = 30 * time.Second
)

// newAgentClient returns an HTTP client for the agent with at most the given number of
// connections, without proxy and redirects, and only for HTTP/1.1.
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

// agentAddress is the agent's address, which may change while run uses it.
type agentAddress struct {
	initial string
	changes *mailbox.Mailbox[string] // new addresses; the empty string restarts at the same address
}

func newAgentAddress(initial string) agentAddress {
	return agentAddress{initial: initial, changes: mailbox.New[string]()}
}

func (a *agentAddress) set(address string) { a.changes.Put(address) }

// restart makes run restart its work at the same address.
func (a *agentAddress) restart() { a.changes.Put("") }

// run calls work with the current address until ctx ends. When the address changes, it cancels
// work, waits until it has returned, and calls it with the new address: two addresses are never
// in use at the same time.
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
