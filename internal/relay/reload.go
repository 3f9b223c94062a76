package relay

import (
	"context"
	"os"
	"reflect"

	"troutusher/internal/config"
)

// A configuration is read again on SIGHUP. What a running relay takes over from
// it is the address of discovery; everything else binds until the next start.

// ReloadRequests tells a running relay of new configurations.
type ReloadRequests struct {
	Signals <-chan os.Signal               // one value for each time that it is to be read
	Load    func() (*config.Config, error) // reads it
}

// watchReloads reads the configuration whenever that is asked for. One that cannot
// be read or is wrong changes nothing.
func (r *Relay) watchReloads(ctx context.Context, re ReloadRequests) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-re.Signals:
			r.reloadsRequested.Add(1)
		}
		if cfg := r.loadNewConfig(); cfg != nil {
			r.inbox.Put(loopInput{config: cfg})
		}
	}
}

// loadNewConfig is the configuration as it is now; nil for one that is of no use.
func (r *Relay) loadNewConfig() *config.Config {
	cfg, err := r.reload.Load()
	if err != nil {
		r.log.Error("new configuration not taken over, the old one stays", "err", err)
		return nil
	}
	return cfg
}

// reloadNow is for a process that took over from one that was told to: it began
// with what the environment says, which the file has been put before since.
func (r *Relay) reloadNow() {
	r.reloadsRequested.Add(1)
	if cfg := r.loadNewConfig(); cfg != nil {
		r.reconfigure(cfg)
	}
}

// reconfigure takes over what a running relay can: watch and notices move to
// the new address, and what was not confirmed at the old one goes out there.
func (r *Relay) reconfigure(cfg *config.Config) {
	if !reflect.DeepEqual(cfg.Policy, r.cfg.Policy) || cfg.Limits != r.cfg.Limits || cfg.Listen != r.cfg.Listen {
		r.log.Warn("new configuration: settings, limits and listen wait for the next start")
	}
	if cfg.Discovery == r.discoveryAddr {
		r.log.Info("new configuration: discovery stays", "discovery", r.discoveryAddr)
		return
	}
	r.log.Info("new configuration: discovery moves", "from", r.discoveryAddr, "to", cfg.Discovery)
	r.discoveryAddr = cfg.Discovery
	r.discovery.SetAddress(r.discoveryAddr)
	r.notices.SetAddress(r.discoveryAddr)
}
