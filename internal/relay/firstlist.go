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

// firstListTimeout is how long the first calls wait for discovery. Only tests change it.
var firstListTimeout = 300 * time.Millisecond

// Only tests set these variables. 0 and nil select the defaults of packages discovery
// and membersource.
var (
	// watchSilenceTimeout is the time after which a watch that sends nothing is cancelled.
	watchSilenceTimeout time.Duration
	// watchUnchangedDelay is the time after which an accepted watch without a list shows that the known list is
	// current.
	watchUnchangedDelay time.Duration
	// helperCommand returns the command of the helper process that watches etcd.
	helperCommand func() (*exec.Cmd, error)
)

// listEvent returns the event for a list that discovery sent, which is either complete
// or a change to the previous list.
func listEvent(list *core.EndpointList) core.EndpointListUpdated {
	kind := policy.ListDelta
	if list.Complete {
		kind = policy.ListFull
	}
	return core.EndpointListUpdated{List: list, Kind: kind}
}

// configuredList returns the endpoint list in the configuration, if there is one. Endpoints that
// have departed since are draining in it.
func (r *Relay) configuredList() (lists []core.EndpointListUpdated) {
	if r.cfg.KnownList != nil {
		known := r.startWith(r.cfg.KnownList)
		lists = append(lists, core.EndpointListUpdated{List: known, Kind: policy.ListCached})
	}
	return lists
}

// startWith returns a list with which this process starts, without the endpoints that have departed since.
func (r *Relay) startWith(list *core.EndpointList) *core.EndpointList {
	masked := r.departures.Mask(list)
	r.departures.Track(masked)
	return masked
}

// newerConfiguredList returns the endpoint list in the configuration if it is newer than the one that
// the predecessor used. This process watches for changes after the configured list, so it would never
// hear of those that lie between the two. Revisions of different discovery addresses can't be compared.
func (r *Relay) newerConfiguredList(inherited *transfer.Inherited) []core.EndpointListUpdated {
	known := r.cfg.KnownList
	if known == nil || known.Revision <= r.core.ListRevision() || inherited.DiscoveryAddr != r.discoveryAddr {
		return nil
	}
	return r.configuredList()
}

// awaitFirstList allows calls once the first response of discovery shows which list is
// current, or after firstListTimeout. Until then nothing is sent, since the known list
// may be old and must not direct messages to an endpoint that has started to drain since.
// If discovery doesn't answer, or rejects the relay, calls use the old list. Clients are
// served meanwhile, since they give up after 0.4 s and count the deadlines of their
// messages from when they sent them.
func (r *Relay) awaitFirstList() {
	timeout := time.NewTimer(firstListTimeout)
	defer timeout.Stop()
	select {
	case <-r.discovery.FirstResponse(): // its list was posted before
	case <-timeout.C:
		r.log.Warn("discovery: no endpoint list received in time after the start, using the last known one")
	case <-r.ctx.Done():
		return
	}
	if r.members != nil { // the merger may still hold lists that arrived before
		r.members.AfterQueued(func() { r.post(core.Started{}) })
		return
	}
	r.post(core.Started{})
}

// startListSources starts to watch discovery's endpoint list. If etcd is a second
// source of endpoints, it also creates the merger for the lists of both sources.
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
		UnchangedDelay: watchUnchangedDelay,
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

// dropStaleLists drops the lists that are older than the one that the predecessor used,
// so that endpoints that have started to drain since are not marked as up again. This
// applies only if both processes use the same discovery address, since revisions of
// different addresses can't be compared. If it drops a list, it requests a complete one,
// in case the registry has restarted with lower revisions; it also does so if the addresses
// differ.
func (r *Relay) dropStaleLists(
	lists []core.EndpointListUpdated,
	inherited *transfer.Inherited,
) []core.EndpointListUpdated {
	if inherited.DiscoveryAddr != r.discoveryAddr {
		if inherited.ReloadRequested {
			return nil // a reload moved the predecessor to its address, and will move this process
		}
		r.discovery.Resync() // the lists are changes to one that only discovery at this address has
		return lists
	}
	received := len(lists)
	lists = slices.DeleteFunc(lists, func(update core.EndpointListUpdated) bool {
		return update.List.Revision < r.core.ListRevision()
	})
	if len(lists) < received {
		r.discovery.Resync()
	}
	return lists
}

// collectFirstLists waits for the first lists of discovery, at most for
// firstListTimeout. It is called before the event loop runs: in a process that is about
// to take over while its predecessor still serves, and in one that has no known list.
// The result doesn't include the list in the configuration.
func (r *Relay) collectFirstLists() (lists []core.EndpointListUpdated) {
	timeout := time.NewTimer(firstListTimeout)
	defer timeout.Stop()
	firstResponse := r.discovery.FirstResponse()
	if r.cfg.KnownList == nil {
		firstResponse = nil // there is no other list, so an answer without a list is not enough
	}
	var inputs []loopInput
	for done := false; !done; {
		select {
		case <-r.inbox.Ready():
		case <-firstResponse: // its list was posted before
			firstResponse, done = nil, true
		case <-timeout.C:
			r.log.Warn("discovery: no endpoint list received in time after the start, using the last known one")
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
