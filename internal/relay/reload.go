package relay

import (
	"context"
	"os"
	"reflect"

	"troutusher/internal/config"
)

// The configuration is read again on SIGHUP. A running relay applies only the discovery
// address; all other changes take effect at the next start.

// ReloadRequests tells a running relay when, and how, to read the configuration again.
type ReloadRequests struct {
	Signals <-chan os.Signal               // one value for each requested reload
	Load    func() (*config.Config, error) // reads the configuration
}

// watchReloads reads the configuration at each request until ctx is cancelled. It
// ignores a configuration that cannot be read or is invalid. The caller passes
// r.reload as requests, and loadNewConfig uses the Load of that same value.
func (r *Relay) watchReloads(ctx context.Context, requests ReloadRequests) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests.Signals:
			r.reloadsRequested.Add(1) // so that a hand-over can forward the request to the successor
		}
		if cfg := r.loadNewConfig(); cfg != nil {
			r.inbox.Put(loopInput{config: cfg})
		}
	}
}

// loadNewConfig reads the configuration. It returns nil if that fails or the
// configuration is invalid.
func (r *Relay) loadNewConfig() *config.Config {
	cfg, err := r.reload.Load()
	if err != nil {
		r.log.Error("configuration reload failed, keeping the old configuration", "err", err)
		return nil
	}
	return cfg
}

// reloadNow reloads the configuration in a process whose predecessor had received a
// reload request, so that both use the same discovery address. If the address is set in
// the environment and in the configuration file, a start uses the one in the environment,
// and a reload uses the one in the file.
func (r *Relay) reloadNow() {
	r.reloadsRequested.Add(1)
	if cfg := r.loadNewConfig(); cfg != nil {
		r.reconfigure(cfg)
	}
}

// reconfigure applies the only part of a new configuration that can change while the
// relay runs, the discovery address. From then on the relay watches the endpoint list at
// the new address, and sends its notices of undelivered messages there, also those that
// the old address has not confirmed.
func (r *Relay) reconfigure(cfg *config.Config) {
	// cfg.Policy is the object "settings" of the configuration file.
	if !reflect.DeepEqual(cfg.Policy, r.cfg.Policy) || cfg.Limits != r.cfg.Limits || cfg.Listen != r.cfg.Listen {
		r.log.Warn("configuration reload: changes to settings, limits and listen take effect only at the next start")
	}
	if cfg.Discovery == r.discoveryAddr {
		r.log.Info("configuration reload: discovery address unchanged", "discovery", r.discoveryAddr)
		return
	}
	r.log.Info("configuration reload: discovery address changed", "from", r.discoveryAddr, "to", cfg.Discovery)
	r.discoveryAddr = cfg.Discovery
	r.discovery.SetAddress(r.discoveryAddr)
	r.notices.SetAddress(r.discoveryAddr)
}
