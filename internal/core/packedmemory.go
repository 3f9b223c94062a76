package core

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"troutusher/policy"
)

// What was learned of a destination that rests, as CBOR (RFC 8949) with numbers
// for keys: about 40 bytes where only latencies are known. Moments count from
// Now. No wait is among it: what was told one is awake until it is over.
type packedMemory struct {
	Now    int64         `cbor:"1,keyasint"`
	Routes []packedRoute `cbor:"2,keyasint,omitempty"`
}

type packedRoute struct {
	Endpoints     []packedEndpoint `cbor:"1,keyasint,omitempty"`
	Nominal       float32          `cbor:"3,keyasint,omitempty"`
	Limit         float32          `cbor:"4,keyasint,omitempty"`
	ReducedRate   float32          `cbor:"5,keyasint,omitempty"`
	RateReducedAt int64            `cbor:"6,keyasint,omitempty"`
	Latency       *packedLatency   `cbor:"7,keyasint,omitempty"`
}

type packedEndpoint struct {
	ID                uint32         `cbor:"1,keyasint"` // of its id and its address: elsewhere it is another
	Ejected           bool           `cbor:"2,keyasint,omitempty"`
	LastFailureSilent bool           `cbor:"3,keyasint,omitempty"`
	FirstFailureAt    int64          `cbor:"4,keyasint,omitempty"`
	LastFailureAt     int64          `cbor:"5,keyasint,omitempty"`
	RecoveredAt       int64          `cbor:"6,keyasint,omitempty"`
	GoodSent          int64          `cbor:"7,keyasint,omitempty"`
	LastSuccessAt     int64          `cbor:"8,keyasint,omitempty"`
	EjectedUntil      int64          `cbor:"9,keyasint,omitempty"`
	Score             float32        `cbor:"10,keyasint,omitempty"`
	BudgetAt          int64          `cbor:"11,keyasint,omitempty"`
	Budget            float32        `cbor:"12,keyasint,omitempty"`
	Used              bool           `cbor:"13,keyasint,omitempty"`
	RequiredTokens    float32        `cbor:"14,keyasint,omitempty"`
	Latency           *packedLatency `cbor:"15,keyasint,omitempty"`
}

type packedLatency struct {
	_    struct{} `cbor:",toarray"`
	Mean uint32   // µs
	Dev  uint32
	N    uint32
}

var (
	packedEncoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	packedDecoding = must(cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are wrong, at the first start of any test
	}
	return v
}

// endpointHash stands for an endpoint at its address.
func endpointHash(id, hostPort string) uint32 {
	h := xxhash.New()
	h.WriteString(id)
	h.Write([]byte{0})
	h.WriteString(hostPort)
	sum := h.Sum64()
	return uint32(sum) ^ uint32(sum>>32)
}

// encodeMoment tells a moment by its distance; 0 stays none. A distance of 0 is a µs later.
func encodeMoment(now, t policy.Time) int64 {
	switch t {
	case 0:
		return 0
	case now:
		return 1
	}
	return t - now
}

func decodeMoment(now policy.Time, d int64) policy.Time {
	if d == 0 {
		return 0
	}
	return max(now+d, 1)
}

func packLatency(l policy.LatencySnapshot) *packedLatency {
	if l.Count == 0 {
		return nil
	}
	us := func(v float64) uint32 { return uint32(min(max(math.Round(v), 0), math.MaxUint32)) }
	return &packedLatency{Mean: us(l.Mean), Dev: us(l.Deviation), N: uint32(min(l.Count, math.MaxInt32))}
}

func (l *packedLatency) memory() (m policy.LatencySnapshot) {
	if l != nil {
		m = policy.LatencySnapshot{Mean: float64(l.Mean), Deviation: float64(l.Dev), Count: int(l.N)}
	}
	return m
}

// pack makes the bytes of a memory; none where nothing was learned. mark tells
// what stands for an endpoint that has a number.
func pack(m *policy.Snapshot, mark func(policy.EndpointID) (uint32, bool)) ([]byte, error) {
	if len(m.Limiters) == 0 {
		return nil, nil
	}
	r := packedMemory{Now: m.Now}
	for i := range m.Limiters {
		l := &m.Limiters[i]
		x := packedRoute{Nominal: float32(l.NominalRate), Limit: float32(l.ReportedRate), ReducedRate: float32(l.ReducedRate),
			RateReducedAt: encodeMoment(m.Now, l.ReducedAt), Latency: packLatency(l.Latency)}
		for j := range l.Endpoints {
			e := &l.Endpoints[j]
			id, ok := mark(e.ID)
			if !ok {
				continue
			}
			x.Endpoints = append(x.Endpoints, packedEndpoint{ID: id, Ejected: e.Unhealthy, LastFailureSilent: e.LastFailureSilent, FirstFailureAt: encodeMoment(m.Now, e.FirstFailureAt), LastFailureAt: encodeMoment(m.Now, e.LastFailureAt),
				RecoveredAt: encodeMoment(m.Now, e.RecoveredAt), GoodSent: encodeMoment(m.Now, e.RecoverySentAt), LastSuccessAt: encodeMoment(m.Now, e.LastSuccessAt), EjectedUntil: encodeMoment(m.Now, e.BackoffUntil),
				Score: float32(e.FailureScore), BudgetAt: encodeMoment(m.Now, e.RecoveryBudget.At), Budget: float32(e.RecoveryBudget.Tokens), Used: e.RecoveryBudget.Used,
				RequiredTokens: float32(e.RequiredTokens), Latency: packLatency(e.Latency)})
		}
		r.Routes = append(r.Routes, x)
	}
	b, err := packedEncoding.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("rested: %w", err)
	}
	return b, nil
}

// unpack reads what pack made, of a destination. number tells the number of what
// a mark stands for; 0 for nothing that is known.
func unpack(b []byte, dest int, number func(uint32) policy.EndpointID) (*policy.Snapshot, error) {
	if len(b) == 0 {
		return &policy.Snapshot{}, nil
	}
	var r packedMemory
	if err := packedDecoding.Unmarshal(b, &r); err != nil {
		return &policy.Snapshot{}, fmt.Errorf("rested: %w", err)
	}
	m := &policy.Snapshot{Now: r.Now}
	for i := range r.Routes {
		x := &r.Routes[i]
		l := policy.LimiterSnapshot{Destination: dest, Window: 1, RateMultiplier: 1, NominalRate: float64(x.Nominal),
			ReportedRate: float64(x.Limit), ReducedRate: float64(x.ReducedRate), ReducedAt: decodeMoment(r.Now, x.RateReducedAt), Latency: x.Latency.memory()}
		for j := range x.Endpoints {
			e := &x.Endpoints[j]
			l.Endpoints = append(l.Endpoints, policy.EndpointSnapshot{ID: number(e.ID), Unhealthy: e.Ejected, LastFailureSilent: e.LastFailureSilent, FirstFailureAt: decodeMoment(r.Now, e.FirstFailureAt),
				LastFailureAt: decodeMoment(r.Now, e.LastFailureAt), RecoveredAt: decodeMoment(r.Now, e.RecoveredAt), RecoverySentAt: decodeMoment(r.Now, e.GoodSent), LastSuccessAt: decodeMoment(r.Now, e.LastSuccessAt),
				BackoffUntil: decodeMoment(r.Now, e.EjectedUntil), FailureScore: float64(e.Score), RecoveryBudget: policy.TokenBucketSnapshot{At: decodeMoment(r.Now, e.BudgetAt), Tokens: float64(e.Budget), Used: e.Used},
				RequiredTokens: float64(e.RequiredTokens), Latency: e.Latency.memory()})
		}
		m.Limiters = append(m.Limiters, l)
	}
	return m, nil
}
