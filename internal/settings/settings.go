// Package settings maps the settings text, as the simulator and a deployment
// both give it, to the words of package decide. It decides nothing.
package settings

import (
	"fmt"

	"troutusher/decide"
	"troutusher/internal/wire"
)

var repeats = map[string]decide.Repeat{"retryable": decide.Safe, "dedup": decide.Keyed, "fragile": decide.Unsafe}

// Policy maps the settings text to the interface's words.
func Policy(s *wire.Settings) (decide.Settings, error) {
	l, f := &s.Limits, &s.Safety
	d := decide.Settings{Relays: s.Balancers, Zone: s.Zone, Slots: s.Specifics.CallsOut, MaxHeld: l.MostHeld,
		MaxAttempts: l.MostTries, Halving: s.Specifics.Late == "halving", OverShareWorth: s.OverShareWorth,
		WorthByWork: s.ValueBy == "work", RatesListed: s.Weights != "" && s.Weights != "none",
		Probes: l.Probing, Cancels: l.MayCancel, RetryAfter: l.RetryAfter, MaxRetryAfter: l.MaxRetryAfter,
		AskForList: s.Discovery == "on_request", AskEvery: f.AskEvery, ConnectTimeout: l.ConnectTimeout,
		KeepAlive: l.KeepAlive, Streams: l.StreamsPerConn, Tick: s.Tick, AnswerSlack: f.AnswerSlack,
		DrainGrace: f.DrainGrace, StartCapacity: f.StartCapacity, RampTime: f.RampTime,
		OverloadFactor: f.OverloadFactor, FallTime: f.FallTime, KeyRest: f.KeyRest}
	for i, c := range s.Classes {
		rep, ok := repeats[c.Repeat]
		if !ok {
			return d, fmt.Errorf("settings: classes[%d].repeat: unknown kind %q", i, c.Repeat)
		}
		d.Classes = append(d.Classes, decide.Class{Name: c.Name, Aim: c.Target, Deadline: c.Deadline,
			Worth: c.Worth, LateWorth: c.LateWorth, Repeat: rep, DedupWindow: c.Window,
			ZoneOnly: c.Group != "all" && c.Group != "", InOrder: c.Sequential})
	}
	for _, a := range s.Accounts {
		d.Tenants = append(d.Tenants, decide.Tenant{Name: a.Name, Quota: a.Quota})
	}
	for i := range s.Kinds {
		k := decide.Kind{Batch: 1}
		if i < len(s.Specifics.OwnLimits) {
			k.Apart = s.Specifics.OwnLimits[i]
		}
		if i < len(s.Specifics.KindBatch) {
			k.Batch = s.Specifics.KindBatch[i]
		}
		d.Kinds = append(d.Kinds, k)
	}
	return d, nil
}
