package core

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"troutusher/decide"
)

// What was learned of a destination that rests, as CBOR (RFC 8949) with numbers
// for keys: about 40 bytes where only latencies are known. Moments count from
// Now. No wait is among it: what was told one is awake until it is over.
type rested struct {
	Now   int64        `cbor:"1,keyasint"`
	Lanes []restedLane `cbor:"2,keyasint,omitempty"`
}

type restedLane struct {
	Ends    []restedEnd `cbor:"1,keyasint,omitempty"`
	Nominal float32     `cbor:"3,keyasint,omitempty"`
	Limit   float32     `cbor:"4,keyasint,omitempty"`
	Cut     float32     `cbor:"5,keyasint,omitempty"`
	CutAt   int64       `cbor:"6,keyasint,omitempty"`
	Lat     *restedLat  `cbor:"7,keyasint,omitempty"`
}

type restedEnd struct {
	ID       uint32     `cbor:"1,keyasint"` // of its id and its address: elsewhere it is another
	Sick     bool       `cbor:"2,keyasint,omitempty"`
	Mute     bool       `cbor:"3,keyasint,omitempty"`
	FirstBad int64      `cbor:"4,keyasint,omitempty"`
	BadAt    int64      `cbor:"5,keyasint,omitempty"`
	GoodAt   int64      `cbor:"6,keyasint,omitempty"`
	GoodSent int64      `cbor:"7,keyasint,omitempty"`
	OkAt     int64      `cbor:"8,keyasint,omitempty"`
	Rest     int64      `cbor:"9,keyasint,omitempty"`
	Score    float32    `cbor:"10,keyasint,omitempty"`
	BudgetAt int64      `cbor:"11,keyasint,omitempty"`
	Budget   float32    `cbor:"12,keyasint,omitempty"`
	Used     bool       `cbor:"13,keyasint,omitempty"`
	Need     float32    `cbor:"14,keyasint,omitempty"`
	Lat      *restedLat `cbor:"15,keyasint,omitempty"`
}

type restedLat struct {
	_    struct{} `cbor:",toarray"`
	Mean uint32   // µs
	Dev  uint32
	N    uint32
}

var (
	restedForm = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	readForm   = must(cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are wrong, at the first start of any test
	}
	return v
}

// endpointMark stands for an endpoint at its address.
func endpointMark(id, hostPort string) uint32 {
	h := xxhash.New()
	h.WriteString(id)
	h.Write([]byte{0})
	h.WriteString(hostPort)
	sum := h.Sum64()
	return uint32(sum) ^ uint32(sum>>32)
}

// from tells a moment by its distance; 0 stays none. A distance of 0 is a µs later.
func from(now, t decide.Time) int64 {
	switch t {
	case 0:
		return 0
	case now:
		return 1
	}
	return t - now
}

func at(now decide.Time, d int64) decide.Time {
	if d == 0 {
		return 0
	}
	return max(now+d, 1)
}

func packLat(l decide.LatencySnapshot) *restedLat {
	if l.Count == 0 {
		return nil
	}
	us := func(v float64) uint32 { return uint32(min(max(math.Round(v), 0), math.MaxUint32)) }
	return &restedLat{Mean: us(l.Mean), Dev: us(l.Deviation), N: uint32(min(l.Count, math.MaxInt32))}
}

func (l *restedLat) memory() (m decide.LatencySnapshot) {
	if l != nil {
		m = decide.LatencySnapshot{Mean: float64(l.Mean), Deviation: float64(l.Dev), Count: int(l.N)}
	}
	return m
}

// pack makes the bytes of a memory; none where nothing was learned. mark tells
// what stands for an endpoint that has a number.
func pack(m *decide.Snapshot, mark func(decide.EndpointID) (uint32, bool)) ([]byte, error) {
	if len(m.Limiters) == 0 {
		return nil, nil
	}
	r := rested{Now: m.Now}
	for i := range m.Limiters {
		l := &m.Limiters[i]
		x := restedLane{Nominal: float32(l.NominalRate), Limit: float32(l.ReportedRate), Cut: float32(l.ReducedRate),
			CutAt: from(m.Now, l.ReducedAt), Lat: packLat(l.Latency)}
		for j := range l.Endpoints {
			e := &l.Endpoints[j]
			id, ok := mark(e.ID)
			if !ok {
				continue
			}
			x.Ends = append(x.Ends, restedEnd{ID: id, Sick: e.Unhealthy, Mute: e.LastFailureSilent, FirstBad: from(m.Now, e.FirstFailureAt), BadAt: from(m.Now, e.LastFailureAt),
				GoodAt: from(m.Now, e.RecoveredAt), GoodSent: from(m.Now, e.RecoverySentAt), OkAt: from(m.Now, e.LastSuccessAt), Rest: from(m.Now, e.BackoffUntil),
				Score: float32(e.FailureScore), BudgetAt: from(m.Now, e.RecoveryBudget.At), Budget: float32(e.RecoveryBudget.Tokens), Used: e.RecoveryBudget.Used,
				Need: float32(e.RequiredTokens), Lat: packLat(e.Latency)})
		}
		r.Lanes = append(r.Lanes, x)
	}
	b, err := restedForm.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("rested: %w", err)
	}
	return b, nil
}

// unpack reads what pack made, of a destination. number tells the number of what
// a mark stands for; 0 for nothing that is known.
func unpack(b []byte, dest int, number func(uint32) decide.EndpointID) (*decide.Snapshot, error) {
	if len(b) == 0 {
		return &decide.Snapshot{}, nil
	}
	var r rested
	if err := readForm.Unmarshal(b, &r); err != nil {
		return &decide.Snapshot{}, fmt.Errorf("rested: %w", err)
	}
	m := &decide.Snapshot{Now: r.Now}
	for i := range r.Lanes {
		x := &r.Lanes[i]
		l := decide.LimiterSnapshot{Destination: dest, Window: 1, RateMultiplier: 1, NominalRate: float64(x.Nominal),
			ReportedRate: float64(x.Limit), ReducedRate: float64(x.Cut), ReducedAt: at(r.Now, x.CutAt), Latency: x.Lat.memory()}
		for j := range x.Ends {
			e := &x.Ends[j]
			l.Endpoints = append(l.Endpoints, decide.EndpointSnapshot{ID: number(e.ID), Unhealthy: e.Sick, LastFailureSilent: e.Mute, FirstFailureAt: at(r.Now, e.FirstBad),
				LastFailureAt: at(r.Now, e.BadAt), RecoveredAt: at(r.Now, e.GoodAt), RecoverySentAt: at(r.Now, e.GoodSent), LastSuccessAt: at(r.Now, e.OkAt),
				BackoffUntil: at(r.Now, e.Rest), FailureScore: float64(e.Score), RecoveryBudget: decide.TokenBucketSnapshot{At: at(r.Now, e.BudgetAt), Tokens: float64(e.Budget), Used: e.Used},
				RequiredTokens: float64(e.Need), Latency: e.Lat.memory()})
		}
		m.Limiters = append(m.Limiters, l)
	}
	return m, nil
}
