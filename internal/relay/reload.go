package relay

import (
	"context"
	"os"
	"reflect"

	"troutusher/internal/config"
)

// The configuration is read again on SIGHUP. What a running relay applies of it is the
// address of discovery; everything else waits for the next start.

// ReloadRequests is how a running relay learns of a new configuration.
type ReloadRequests struct {
	Signals <-chan os.Signal               // a value for each time that it is to be read
	Load    func() (*config.Config, error) // reads it
}

// watchReloads reads the configuration at each request until ctx ends. One that cannot
// be read or is invalid changes nothing.
func (r *Relay) watchReloads(ctx context.Context, requests ReloadRequests) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests.Signals:
			r.reloadsRequested.Add(1)
		}
		if cfg := r.loadNewConfig(); cfg != nil {
			r.inbox.Put(loopInput{config: cfg})
		}
	}
}

// loadNewConfig is the configuration as it is now; nil where it cannot be read or is
// invalid.
func (r *Relay) loadNewConfig() *config.Config {
	cfg, err := r.reload.Load()
	if err != nil {
		r.log.Error("new configuration not taken over, the old one stays", "err", err)
		return nil
	}
	return cfg
}

// reloadNow is for a process that took over from one that was requested to reload: it
// began with what the environment says, and in a reload the file takes precedence.
func (r *Relay) reloadNow() {
	r.reloadsRequested.Add(1)
	if cfg := r.loadNewConfig(); cfg != nil {
		r.reconfigure(cfg)
	}
}

// reconfigure applies what a running relay can: watch and notices move to the new
// address, and notices that were not confirmed at the old one are sent there.
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
