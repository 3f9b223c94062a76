package scenario

import (
	"maps"
	"slices"
	"strings"

	"troutusher/internal/emulator/endpoint"
)

// Fault is one [[fault]] table of the file: what fails, when and for how long.
type Fault struct {
	Kind          string   `toml:"kind"`
	Partner       string   `toml:"partner"`  // name of a partner or of a [[partner]] table, or "*" for all
	Partners      []string `toml:"partners"` // further ones
	Relay         int      `toml:"relay"`    // numbered from 1; 0 for all relays
	StartS        float64  `toml:"at_s"`
	DurationS     float64  `toml:"length_s"`
	EndpointShare float64  `toml:"part"`  // fraction of each partner's endpoints; at least one is affected
	Magnitude     float64  `toml:"size"`  // depends on the kind: seconds, a factor or a number of connections
	Share         float64  `toml:"share"` // fraction of the calls or messages that are affected
	Class         string   `toml:"class"` // name of the message class that is affected
	Variant       string   `toml:"form"`  // of the kind: the process that is killed, or the defect of responses
}

// Kinds of fault, besides those of the endpoint emulator and of TLS.
const (
	EndpointDrain   = "drain"         // the list marks endpoints as draining; later they reject new calls
	EndpointRemoval = "remove"        // the list drops endpoints; later they refuse connections
	ListDelayed     = "list_late"     // list changes are delayed by another Magnitude seconds
	ListStale       = "list_stale"    // relays get no list changes while the fault lasts
	ListSilent      = "list_silent"   // the registry does not respond
	RelayKill       = "relay_kill"    // SIGKILL; the relay is started again after DurationS
	RelayRestart    = "relay_restart" // SIGTERM; the relay is started again once it has exited
	RelayUpgrade    = "upgrade"       // a new process takes over; a Variant kills one of the two
	RelayDrain      = "drain_relay"   // DRAIN on the relay's console, and UNDRAIN at the fault's end
	RelayReload     = "reload"        // SIGHUP, with a new registry address in the configuration
	RelaySignals    = "signals"       // the Variant's steps in series, Magnitude seconds apart; see signals.go

	// Floods open Magnitude connections to each relay that do not come from legitimate clients.
	FloodSilent       = "flood_silent"    // they connect and send nothing
	FloodReconnecting = "flood_returning" // like FloodSilent, but reconnect at once when closed
	FloodPing         = "flood_ping"      // each sends one PING and stays connected
	FloodSlowWrites   = "flood_drip"      // they send one byte per second
	FloodMalformed    = "flood_faulty"    // they send malformed commands
)

// Variants of RelayUpgrade: the process that is killed during the upgrade.
const (
	KillPredecessor = "kill_old"
	KillSuccessor   = "kill_new"
)

// faultFields says which fields of Fault a kind of fault uses, and the minimum of its magnitude. With
// partner it affects endpoints of partners, otherwise relays.
type faultFields struct {
	partner, duration, magnitude, share, class, variant bool
	minMagnitude                                        float64
}

// fieldsByFault maps every kind of fault to the fields that it uses.
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
	string(endpoint.LateCopy):             {partner: true, duration: true, share: true, magnitude: true},
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
	RelaySignals:      {magnitude: true, variant: true},
	FloodSilent:       {duration: true, magnitude: true, minMagnitude: 1},
	FloodReconnecting: {duration: true, magnitude: true, minMagnitude: 1},
	FloodPing:         {duration: true, magnitude: true, minMagnitude: 1},
	FloodSlowWrites:   {duration: true, magnitude: true, minMagnitude: 1},
	FloodMalformed:    {duration: true, magnitude: true, minMagnitude: 1},
}

// FaultKinds returns all kinds of fault, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(fieldsByFault)) }

// matchesTable reports whether a fault affects any partner of a [[partner]] table with the given
// name and count.
func (f *Fault) matchesTable(table string, count int) bool {
	return slices.ContainsFunc(f.partnerNames(), func(name string) bool {
		return name == "*" || name == table || count > 1 && strings.HasPrefix(name, table+"-")
	})
}

// partnerNames returns the names that a fault gives in partner and partners: of partners, of
// [[partner]] tables, or "*" for all.
func (f *Fault) partnerNames() []string {
	if f.Partner != "" {
		return append([]string{f.Partner}, f.Partners...)
	}
	return f.Partners
}
