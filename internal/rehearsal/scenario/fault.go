package scenario

import (
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

// Kinds of fault beside those of package partner.
const (
	EndpointDrain   = "drain"         // the list says that endpoints drain; they take nothing new
	EndpointRemoval = "remove"        // the list lets them go, after which they refuse connections
	ListDelayed     = "list_late"     // changes of the list take Size seconds more
	ListStale       = "list_stale"    // no change of the list arrives until it is over
	ListSilent      = "list_silent"   // discovery says nothing at all
	RelayKill       = "relay_kill"    // SIGKILL; it is started again after LengthS
	RelayRestart    = "relay_restart" // SIGTERM, and a new start once it has ended
	RelayUpgrade    = "upgrade"       // a process beside it takes over; with Form one of the two is killed
	RelayDrain      = "drain_relay"   // DRAIN at its console, and UNDRAIN when it is over
	RelayReload     = "reload"        // SIGHUP with a new address of discovery

	// Crowds of Size connections to each relay that are no clients.
	FloodSilent       = "flood_silent"    // they connect and say nothing
	FloodReconnecting = "flood_returning" // the same, and come back at once when closed
	FloodPing         = "flood_ping"      // they ask one PING each and stay
	FloodSlowWrites   = "flood_drip"      // they write a byte a second
	FloodMalformed    = "flood_faulty"    // they send what cannot be read
)

// Forms of an upgrade: which of the processes is killed in its course.
const (
	KillPredecessor = "kill_old"
	KillSuccessor   = "kill_new"
)

type faultFields struct {
	partner, duration, magnitude, share, class, variant bool // what it takes
	minMagnitude                                        float64
}

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
		partner:      true,
		duration:     true,
		share:        true,
		magnitude:    true,
		minMagnitude: 1,
		class:        true,
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
func FaultKinds() []string {
	var all []string
	for k := range fieldsByFault {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// matchesTable reports whether a fault is about a partner of a table.
func (f *Fault) matchesTable(name string, count int) bool {
	for _, x := range f.partnerNames() {
		if x == "*" || x == name || count > 1 && strings.HasPrefix(x, name+"-") {
			return true
		}
	}
	return false
}

func (f *Fault) partnerNames() []string {
	if f.Partner != "" {
		return append([]string{f.Partner}, f.Partners...)
	}
	return f.Partners
}
