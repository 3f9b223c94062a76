package scenario

import (
	"maps"
	"slices"
	"strings"

	"troutusher/internal/emulator/endpoint"
)

// Fault is something that goes wrong.
type Fault struct {
	Kind          string   `toml:"kind"`
	Partner       string   `toml:"partner"`
	Partners      []string `toml:"partners"`
	Relay         int      `toml:"relay"` // from 1; 0 for all
	StartS        float64  `toml:"at_s"`
	DurationS     float64  `toml:"length_s"`
	EndpointShare float64  `toml:"part"`  // of the partner's endpoints, one at least
	Magnitude     float64  `toml:"size"`  // seconds of a wait or a delay, or a factor
	Share         float64  `toml:"share"` // of the calls or messages
	Class         string   `toml:"class"`
	Variant       string   `toml:"form"`
}

// Kinds of fault beside those of the endpoint emulator.
const (
	EndpointDrain   = "drain"         // the list says that endpoints drain; they take nothing new
	EndpointRemoval = "remove"        // the list lets them go, after which they refuse connections
	ListDelayed     = "list_late"     // changes of the list take Magnitude seconds more
	ListStale       = "list_stale"    // no change of the list arrives while it lasts
	ListSilent      = "list_silent"   // the registry says nothing at all
	RelayKill       = "relay_kill"    // SIGKILL; it is started again after DurationS
	RelayRestart    = "relay_restart" // SIGTERM, and a new start once it has ended
	RelayUpgrade    = "upgrade"       // a process beside it takes over; with a Variant one of the two is killed
	RelayDrain      = "drain_relay"   // DRAIN at its console, and UNDRAIN at its end
	RelayReload     = "reload"        // SIGHUP with a new address of the registry

	// Magnitude connections to each relay that are no clients.
	FloodSilent       = "flood_silent"    // they connect and say nothing
	FloodReconnecting = "flood_returning" // the same, and reconnect at once when closed
	FloodPing         = "flood_ping"      // they ask one PING each and stay
	FloodSlowWrites   = "flood_drip"      // they write a byte a second
	FloodMalformed    = "flood_faulty"    // they send what cannot be read
)

// Variants of an upgrade: which of the processes is killed in its course.
const (
	KillPredecessor = "kill_old"
	KillSuccessor   = "kill_new"
)

// faultFields says which fields a kind of fault takes.
type faultFields struct {
	partner, duration, magnitude, share, class, variant bool
	minMagnitude                                        float64
}

// fieldsByFault has all kinds of fault.
var fieldsByFault = map[string]faultFields{
	string(endpoint.Blackhole):            {partner: true, duration: true},
	string(endpoint.Crash):                {partner: true, duration: true},
	string(endpoint.Hang):                 {partner: true, duration: true},
	string(endpoint.RejectAll):            {partner: true, duration: true},
	string(endpoint.RejectWithRetryAfter): {partner: true, duration: true, magnitude: true, minMagnitude: 0.001},
	string(endpoint.ErrorResponses):       {partner: true, duration: true, share: true},
	string(endpoint.ConnectionReset):      {partner: true, duration: true, share: true},
	string(endpoint.MalformedResponse):    {partner: true, duration: true, share: true, variant: true},
	string(endpoint.LateResponse):         {partner: true, duration: true, share: true, magnitude: true},
	string(endpoint.SlowService):          {partner: true, duration: true, magnitude: true, minMagnitude: 1},
	string(endpoint.TailLatency): {
		partner: true, duration: true, share: true, magnitude: true, minMagnitude: 1, class: true,
	},
	EndpointDrain:     {partner: true, duration: true},
	EndpointRemoval:   {partner: true, duration: true},
	TLSRotate:         {partner: true, duration: true},
	TLSExpired:        {partner: true, duration: true},
	TLSWrongName:      {partner: true, duration: true},
	TLSWrongRoot:      {partner: true, duration: true},
	TLSHandshakeReset: {partner: true, duration: true},
	TLSSessionsLost:   {partner: true, duration: true},
	ListDelayed:       {duration: true, magnitude: true, minMagnitude: 0.001},
	ListStale:         {duration: true},
	ListSilent:        {duration: true},
	RelayKill:         {duration: true},
	RelayRestart:      {},
	RelayUpgrade:      {variant: true},
	RelayDrain:        {duration: true},
	RelayReload:       {},
	FloodSilent:       {duration: true, magnitude: true, minMagnitude: 1},
	FloodReconnecting: {duration: true, magnitude: true, minMagnitude: 1},
	FloodPing:         {duration: true, magnitude: true, minMagnitude: 1},
	FloodSlowWrites:   {duration: true, magnitude: true, minMagnitude: 1},
	FloodMalformed:    {duration: true, magnitude: true, minMagnitude: 1},
}

// FaultKinds lists the kinds of fault in order.
func FaultKinds() []string { return slices.Sorted(maps.Keys(fieldsByFault)) }

// matchesTable reports whether a fault is about a partner of a table.
func (f *Fault) matchesTable(table string, count int) bool {
	return slices.ContainsFunc(f.partnerNames(), func(name string) bool {
		return name == "*" || name == table || count > 1 && strings.HasPrefix(name, table+"-")
	})
}

// partnerNames returns the partners and tables that a fault names.
func (f *Fault) partnerNames() []string {
	if f.Partner != "" {
		return append([]string{f.Partner}, f.Partners...)
	}
	return f.Partners
}
