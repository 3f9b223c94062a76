package relay

import (
	"context"
	"os/exec"
	"slices"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/discovery"
	"troutusher/internal/handover/transfer"
	"troutusher/internal/membersource"
	"troutusher/internal/source/registry"
	"troutusher/policy"
)

// firstListTimeout is how long the first calls wait for discovery. Tests alone change
// it.
var firstListTimeout = 300 * time.Millisecond

// Tests alone set these; 0 and nil are for what packages discovery and membersource do by
// themselves.
var (
	watchSilenceTimeout time.Duration
	helperCommand       func() (*exec.Cmd, error)
)

// listEvent is the event of a list that discovery sent: all endpoints, or a change.
func listEvent(list *core.EndpointList) core.EndpointListUpdated {
	kind := policy.ListDelta
	if list.Complete {
		kind = policy.ListFull
	}
	return core.EndpointListUpdated{List: list, Kind: kind}
}

// configuredList is the list in the configuration, if there is one.
func (r *Relay) configuredList() (lists []core.EndpointListUpdated) {
	if r.cfg.KnownList != nil {
		lists = append(lists, core.EndpointListUpdated{List: r.cfg.KnownList, Kind: policy.ListCached})
	}
	return lists
}

// awaitFirstList has calls begin once discovery has answered, or after a while: the
// list that is known may be old, and an endpoint that drained since must not be sent
// to. Where discovery is silent, or rejects the relay, the old one has to do. Calls
// alone wait. Clients are served meanwhile: they give up after 0.4 s, and count their
// messages' time from when they sent them.
func (r *Relay) awaitFirstList() {
	timeout := time.NewTimer(firstListTimeout)
	defer timeout.Stop()
	select {
	case <-r.discovery.FirstResponse(): // its list was posted before
	case <-timeout.C:
		r.log.Warn("discovery is silent: the list that is known is used")
	case <-r.ctx.Done():
		return
	}
	if r.members != nil {
		r.members.AfterQueued(func() { r.post(core.Started{}) })
		return
	}
	r.post(core.Started{})
}

// startListSources begins to watch discovery's endpoint list and, where etcd is followed
// as well, makes the merger that the lists of both go through.
func (r *Relay) startListSources(ctx context.Context) error {
	scheduler := registry.New(r.cfg.Policy.Relays, r.cfg.Seed)
	if r.cfg.KnownList != nil {
		scheduler.SetRevision(r.cfg.KnownList.Revision)
	}
	options := discovery.WatcherOptions{
		Address:        r.cfg.Discovery,
		Scheduler:      scheduler,
		Log:            r.log,
		OnList:         func(_ string, l *core.EndpointList) { r.post(listEvent(l)) },
		MaxListBytes:   r.cfg.MaxListBytes,
		SilenceTimeout: watchSilenceTimeout,
	}
	if r.cfg.Etcd != nil {
		merger, err := membersource.New(membersource.Options{
			RegistryFirst:  r.cfg.Etcd.Precedence == "registry",
			StateDir:       r.cfg.State,
			Log:            r.log,
			OnChange:       func(l *core.EndpointList) { r.post(listEvent(l)) },
			ResyncRegistry: func() { r.discovery.Resync() },
			HelperCommand:  helperCommand,
		})
		if err != nil {
			return err
		}
		r.members = merger
		options.OnList = merger.RegistryList
		options.OnHeartbeat = merger.RegistryHeartbeat
	}
	r.discovery = discovery.NewWatcher(options)
	r.discoveryAddr = r.cfg.Discovery
	go r.discovery.Run(ctx)
	return nil
}

// dropStaleLists leaves out lists from the predecessor's address of discovery that are
// older than the one it went by: what has drained since is not up again. Where some
// were left out, the whole list is fetched once more, in case the registry has begun
// anew.
func (r *Relay) dropStaleLists(
	lists []core.EndpointListUpdated,
	inherited *transfer.Inherited,
) []core.EndpointListUpdated {
	if inherited.DiscoveryAddr != r.discoveryAddr {
		if inherited.ReloadRequested { // the predecessor had moved, and this process will
			return nil
		}
		return lists // revisions of different addresses cannot be compared
	}
	all := len(lists)
	lists = slices.DeleteFunc(lists, func(update core.EndpointListUpdated) bool {
		return update.List.Revision < r.core.ListRevision()
	})
	if len(lists) < all {
		r.discovery.Resync()
	}
	return lists
}

// collectFirstLists waits for the first lists of discovery while the event loop does
// not run yet: in a process that is about to take over, while its predecessor serves,
// or in one that knows no list. The list in the configuration is not among them, since
// the predecessor's is newer.
func (r *Relay) collectFirstLists() (lists []core.EndpointListUpdated) {
	timeout := time.NewTimer(firstListTimeout)
	defer timeout.Stop()
	firstResponse := r.discovery.FirstResponse()
	if r.cfg.KnownList == nil {
		firstResponse = nil // without a list there is nothing to serve on: an answer alone does not do
	}
	var inputs []loopInput
	for done := false; !done; {
		select {
		case <-r.inbox.Ready():
		case <-firstResponse: // its list was posted before
			firstResponse, done = nil, true
		case <-timeout.C:
			r.log.Warn("discovery is silent: the list that is known is used")
			return lists
		}
		inputs = r.inbox.TakeAll(inputs)
		for _, input := range inputs {
			if input.config != nil {
				r.reconfigure(input.config)
			} else if update, ok := input.event.(core.EndpointListUpdated); ok {
				lists = append(lists, update)
				done = true
			}
		}
	}
	return lists
}
