package scenario

import (
	"slices"
	"strings"

	"troutusher/internal/rehearsal/checker"
)

// Limits of the rules that a scenario file cannot change. The fields of checker.Config with the same
// names explain them.
const (
	informedShareLimit  = 2.0 / 3
	maxEndedUnattempted = 0.5
	minUnattempted      = 10
)

// CheckerConfig returns the configuration of the checker for a rehearsal of the plan.
func (p *Plan) CheckerConfig() checker.Config {
	rules := &p.Scenario.Rules
	config := checker.Config{
		Relays:              p.Scenario.Relays.Count,
		Slack:               Microseconds(rules.SlackMS),
		DeadlineSlack:       Microseconds(rules.DeadlineSlackMS),
		RestartGrace:        Microseconds(rules.RestartGraceMS),
		DrainGrace:          Microseconds(rules.DrainGraceMS),
		RetryAfterGrace:     Microseconds(rules.RetryAfterGraceMS),
		InformedShareLimit:  informedShareLimit,
		MaxEndedUnattempted: maxEndedUnattempted,
		MinUnattempted:      minUnattempted,
		ClientsFit:          !p.hasFlood(),
	}
	for i := range p.Scenario.Classes {
		class := &p.Scenario.Classes[i]
		config.Classes = append(config.Classes, checker.Class{
			Idempotency:       class.checkerIdempotency(),
			DedupWindow:       Microseconds(class.DedupWindowMS),
			Ordered:           class.Ordered,
			OrderedKeyBackoff: Microseconds(class.OrderedKeyBackoffMS),
		})
	}
	for _, arrival := range p.Arrivals {
		config.Messages = append(config.Messages, checker.Message{
			Class: arrival.Class, Destination: arrival.Destination, OrderingKey: arrival.OrderingKey,
		})
	}
	for _, endpoint := range p.Endpoints {
		spec := &p.Specs[endpoint.Partner]
		config.Endpoints = append(config.Endpoints, checker.Endpoint{
			Name: endpoint.Name, Destination: spec.Destination, IndependentRoute: spec.IndependentRoutes,
		})
	}
	return config
}

// hasFlood reports whether a fault of the plan is a flood of connections.
func (p *Plan) hasFlood() bool {
	return slices.ContainsFunc(p.Faults, func(f PlannedFault) bool { return strings.HasPrefix(f.Kind, "flood_") })
}

// checkerIdempotency returns the checker's value for the class's idempotency, the key repeat in
// the file.
func (c *Class) checkerIdempotency() checker.Idempotency {
	switch c.Idempotency {
	case idempotentByKey:
		return checker.IdempotentByKey
	case nonIdempotent:
		return checker.NonIdempotent
	}
	return checker.Idempotent
}
