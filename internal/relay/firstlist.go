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

// firstListTimeout is how long the first calls wait for discovery; clients wait for
// nothing. Tests alone change it.
var firstListTimeout = 300 * time.Millisecond

// Tests alone set these; 0 and nil are for what packages discovery and membersource do by
// themselves.
var (
	watchSilenceTimeout time.Duration
	helperCommand       func() (*exec.Cmd, error)
)

func listEvent(l *core.EndpointList) core.EndpointListUpdated {
	kind := policy.ListDelta
	if l.Complete {
		kind = policy.ListFull
	}
	return core.EndpointListUpdated{List: l, Kind: kind}
}

// configuredList is the list in the configuration.
func (r *Relay) configuredList() (lists []core.EndpointListUpdated) {
	if r.cfg.KnownList != nil {
		lists = append(lists, core.EndpointListUpdated{List: r.cfg.KnownList, Kind: policy.ListCached})
	}
	return lists
}

// awaitFirstList waits a while for discovery's first word: the list in the
// configuration may be old, and an endpoint that drained since must not be sent
// to. Where discovery is silent, or turns the relay away, the old one has to do.
// Calls alone wait for it. Clients are served meanwhile: they give up after
// 0.4 s, and count their messages' time from when they sent them.
func (r *Relay) awaitFirstList() {
	limit := time.NewTimer(firstListTimeout)
	defer limit.Stop()
	select {
	case <-r.discovery.FirstResponse(): // what it said of the list came before
	case <-limit.C:
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

// dropStaleLists leaves out lists that the process before has heard later ones than, from
// the same agent: what has drained since is not up again. What is left out is had
// once more, whole, in case the registry has begun anew.
func (r *Relay) dropStaleLists(lists []core.EndpointListUpdated, before *transfer.Inherited) []core.EndpointListUpdated {
	switch {
	case before.DiscoveryAddr == r.discoveryAddr:
	case before.ReloadRequested: // it had moved, and this one will
		return nil
	default:
		return lists // another's versions are its own
	}
	all := len(lists)
	lists = slices.DeleteFunc(lists, func(e core.EndpointListUpdated) bool { return e.List.Revision < r.core.ListRevision() })
	if len(lists) < all {
		r.discovery.Resync()
	}
	return lists
}

// collectFirstLists is the same for a process that is to take over from another one,
// which serves meanwhile, or that has no list: it returns what was heard. The list
// in the configuration is not among it, since the other's is newer.
func (r *Relay) collectFirstLists() (lists []core.EndpointListUpdated) {
	limit := time.NewTimer(firstListTimeout)
	defer limit.Stop()
	first := r.discovery.FirstResponse()
	if r.cfg.KnownList == nil {
		first = nil // without any list there is nothing to serve on
	}
	var got []loopInput
	for heard := false; ; {
		select {
		case <-r.inbox.Ready():
		case <-first: // what it said of the list came before
			first, heard = nil, true
		case <-limit.C:
			r.log.Warn("discovery is silent: the list that is known is used")
			return lists
		}
		got = r.inbox.TakeAll(got)
		for _, h := range got {
			if h.config != nil {
				r.reconfigure(h.config)
			} else if l, ok := h.event.(core.EndpointListUpdated); ok {
				lists = append(lists, l)
				heard = true
			}
		}
		if heard {
			return lists
		}
	}
}
