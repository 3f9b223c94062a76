package scenario

import (
	"slices"
	"strings"

	"troutusher/internal/emulator/endpoint"
)

// Fault is something that goes wrong.
type Fault struct {
	Kind     string   `toml:"kind"`
	Partner  string   `toml:"partner"`
	Partners []string `toml:"partners"`
	Relay    int      `toml:"relay"` // from 1; 0 for all
	AtS      float64  `toml:"at_s"`
	LengthS  float64  `toml:"length_s"`
	Part     float64  `toml:"part"`  // of the partner's endpoints, one at least
	Size     float64  `toml:"size"`  // seconds of a wait or a delay, or a factor
	Share    float64  `toml:"share"` // of the calls or messages
	Class    string   `toml:"class"`
	Form     string   `toml:"form"`
}

// Kinds of fault beside those of package partner.
const (
	Drain        = "drain"         // the list says that endpoints drain; they take nothing new
	Remove       = "remove"        // the list lets them go, after which they refuse connections
	ListLate     = "list_late"     // changes of the list take Size seconds more
	ListStale    = "list_stale"    // no change of the list arrives until it is over
	ListSilent   = "list_silent"   // discovery says nothing at all
	RelayKill    = "relay_kill"    // SIGKILL; it is started again after LengthS
	RelayRestart = "relay_restart" // SIGTERM, and a new start once it has ended
	Upgrade      = "upgrade"       // a process beside it takes over; with Form one of the two is killed
	DrainRelay   = "drain_relay"   // DRAIN at its console, and UNDRAIN when it is over
	Reload       = "reload"        // SIGHUP with a new address of discovery

	// Crowds of Size connections to each relay that are no clients.
	FloodSilent    = "flood_silent"    // they connect and say nothing
	FloodReturning = "flood_returning" // the same, and come back at once when closed
	FloodPing      = "flood_ping"      // they ask one PING each and stay
	FloodDrip      = "flood_drip"      // they write a byte a second
	FloodFaulty    = "flood_faulty"    // they send what cannot be read
)

// Forms of an upgrade: which of the processes is killed in its course.
const (
	KillOld = "kill_old"
	KillNew = "kill_new"
)

type faultShape struct {
	partner, length, size, share, class, form bool // what it takes
	sizeMin                                   float64
}

var faultShapes = map[string]faultShape{
	string(endpoint.Blackhole):            {partner: true, length: true},
	string(endpoint.Crash):                {partner: true, length: true},
	string(endpoint.Hang):                 {partner: true, length: true},
	string(endpoint.RejectAll):            {partner: true, length: true},
	string(endpoint.RejectWithRetryAfter): {partner: true, length: true, size: true, sizeMin: 0.001},
	string(endpoint.ErrorResponses):       {partner: true, length: true, share: true},
	string(endpoint.ConnectionReset):      {partner: true, length: true, share: true},
	string(endpoint.MalformedResponse):    {partner: true, length: true, share: true, form: true},
	string(endpoint.LateResponse):         {partner: true, length: true, share: true, size: true},
	string(endpoint.SlowService):          {partner: true, length: true, size: true, sizeMin: 1},
	string(endpoint.TailLatency): {
		partner: true,
		length:  true,
		share:   true,
		size:    true,
		sizeMin: 1,
		class:   true,
	},
	Drain:          {partner: true, length: true},
	Remove:         {partner: true, length: true},
	TLSRotate:      {partner: true, length: true},
	TLSExpired:     {partner: true, length: true},
	TLSWrongName:   {partner: true, length: true},
	TLSWrongRoot:   {partner: true, length: true},
	TLSReset:       {partner: true, length: true},
	TLSForget:      {partner: true, length: true},
	ListLate:       {length: true, size: true, sizeMin: 0.001},
	ListStale:      {length: true},
	ListSilent:     {length: true},
	RelayKill:      {length: true},
	RelayRestart:   {},
	Upgrade:        {form: true},
	DrainRelay:     {length: true},
	Reload:         {},
	FloodSilent:    {length: true, size: true, sizeMin: 1},
	FloodReturning: {length: true, size: true, sizeMin: 1},
	FloodPing:      {length: true, size: true, sizeMin: 1},
	FloodDrip:      {length: true, size: true, sizeMin: 1},
	FloodFaulty:    {length: true, size: true, sizeMin: 1},
}

// FaultKinds lists the kinds of fault in order.
func FaultKinds() []string {
	var all []string
	for k := range faultShapes {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// names reports whether a fault is about a partner of a table.
func (f *Fault) names(name string, count int) bool {
	for _, x := range f.named() {
		if x == "*" || x == name || count > 1 && strings.HasPrefix(x, name+"-") {
			return true
		}
	}
	return false
}

func (f *Fault) named() []string {
	if f.Partner != "" {
		return append([]string{f.Partner}, f.Partners...)
	}
	return f.Partners
}
