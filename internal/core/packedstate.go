package core

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"troutusher/policy"
)

// packedState is the learned state of a passive destination (see passivation.go). It is encoded as CBOR (RFC 8949)
// with integer keys, and takes about 40 bytes if only latencies are known. Times are relative
// to Now. There is no Retry-After, because a destination stays active while one is in force.
type packedState struct {
	Now      int64           `cbor:"1,keyasint"`
	Limiters []packedLimiter `cbor:"2,keyasint,omitempty"`
}

// packedLimiter holds those fields of policy.LimiterSnapshot that a passive destination keeps.
type packedLimiter struct {
	Endpoints    []packedEndpoint `cbor:"1,keyasint,omitempty"`
	NominalRate  float32          `cbor:"3,keyasint,omitempty"`
	ReportedRate float32          `cbor:"4,keyasint,omitempty"`
	ReducedRate  float32          `cbor:"5,keyasint,omitempty"`
	ReducedAt    int64            `cbor:"6,keyasint,omitempty"`
	Latency      *packedLatency   `cbor:"7,keyasint,omitempty"`
}

// departedHash takes the place of a hash for the health of endpoints that have left the list, which has the
// ID 0 in a policy.Snapshot. No endpoint has this hash.
const departedHash = 0

// packedEndpoint holds the fields of policy.EndpointSnapshot, with a hash in place of the ID. The
// three fields Budget* hold its RecoveryBudget.
type packedEndpoint struct {
	Hash              uint32         `cbor:"1,keyasint"` // see endpointHash
	Unhealthy         bool           `cbor:"2,keyasint,omitempty"`
	LastFailureSilent bool           `cbor:"3,keyasint,omitempty"`
	FirstFailureAt    int64          `cbor:"4,keyasint,omitempty"`
	LastFailureAt     int64          `cbor:"5,keyasint,omitempty"`
	RecoveredAt       int64          `cbor:"6,keyasint,omitempty"`
	RecoverySentAt    int64          `cbor:"7,keyasint,omitempty"`
	LastSuccessAt     int64          `cbor:"8,keyasint,omitempty"`
	BackoffUntil      int64          `cbor:"9,keyasint,omitempty"`
	FailureScore      float32        `cbor:"10,keyasint,omitempty"`
	BudgetAt          int64          `cbor:"11,keyasint,omitempty"`
	BudgetTokens      float32        `cbor:"12,keyasint,omitempty"`
	BudgetUsed        bool           `cbor:"13,keyasint,omitempty"`
	RequiredTokens    float32        `cbor:"14,keyasint,omitempty"`
	Latency           *packedLatency `cbor:"15,keyasint,omitempty"`
}

// packedLatency is an array in CBOR: the order of its fields is part of the format.
type packedLatency struct {
	_         struct{} `cbor:",toarray"`
	Mean      uint32   // µs
	Deviation uint32   // µs
	Count     uint32
}

var (
	packedEncoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	packedDecoding = must(cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

// must panics on an error. An error means that the options above are invalid.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// endpointHash returns a hash that identifies an endpoint at its address. With another address,
// the endpoint has another hash.
func endpointHash(id, hostPort string) uint32 {
	hash := xxhash.New()
	_, _ = hash.WriteString(id) // writing to a hash never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(hostPort)
	sum := hash.Sum64()
	return max(uint32(sum)^uint32(sum>>32), departedHash+1)
}

// encodeTime returns a time relative to now. 0 means none and stays 0. A time equal to now
// becomes 1, one microsecond later, so that it differs from none.
func encodeTime(now, t policy.Time) int64 {
	switch t {
	case 0:
		return 0
	case now:
		return 1
	}
	return t - now
}

// decodeTime reverses encodeTime.
func decodeTime(now policy.Time, relative int64) policy.Time {
	if relative == 0 {
		return 0
	}
	return max(now+relative, 1)
}

func packLatency(latency policy.LatencySnapshot) *packedLatency {
	if latency.Count == 0 {
		return nil
	}
	micros := func(v float64) uint32 { return uint32(min(max(math.Round(v), 0), math.MaxUint32)) }
	return &packedLatency{
		Mean: micros(latency.Mean), Deviation: micros(latency.Deviation),
		Count: uint32(min(latency.Count, math.MaxInt32)),
	}
}

// unpack reverses packLatency.
func (p *packedLatency) unpack() policy.LatencySnapshot {
	if p == nil {
		return policy.LatencySnapshot{}
	}
	return policy.LatencySnapshot{Mean: float64(p.Mean), Deviation: float64(p.Deviation), Count: int(p.Count)}
}

// pack encodes the snapshot of a destination. The result is empty if nothing was learned.
// hashOf returns the hash of an endpoint. Endpoints without a hash are omitted, but not the health of those
// that have left the list.
func pack(snapshot *policy.Snapshot, hashOf func(policy.EndpointID) (uint32, bool)) ([]byte, error) {
	if len(snapshot.Limiters) == 0 {
		return nil, nil
	}
	state := packedState{Now: snapshot.Now}
	for i := range snapshot.Limiters {
		limiter := &snapshot.Limiters[i]
		packed := packedLimiter{
			NominalRate: float32(limiter.NominalRate), ReportedRate: float32(limiter.ReportedRate),
			ReducedRate: float32(limiter.ReducedRate), ReducedAt: encodeTime(state.Now, limiter.ReducedAt),
			Latency: packLatency(limiter.Latency),
		}
		for j := range limiter.Endpoints {
			endpoint := &limiter.Endpoints[j]
			hash, ok := hashOf(endpoint.ID)
			if endpoint.ID == 0 {
				hash, ok = departedHash, true
			}
			if ok {
				packed.Endpoints = append(packed.Endpoints, packEndpoint(state.Now, hash, endpoint))
			}
		}
		state.Limiters = append(state.Limiters, packed)
	}
	b, err := packedEncoding.Marshal(&state)
	if err != nil {
		return nil, fmt.Errorf("encode learned state: %w", err)
	}
	return b, nil
}

func packEndpoint(now policy.Time, hash uint32, endpoint *policy.EndpointSnapshot) packedEndpoint {
	return packedEndpoint{
		Hash:              hash,
		Unhealthy:         endpoint.Unhealthy,
		LastFailureSilent: endpoint.LastFailureSilent,
		FirstFailureAt:    encodeTime(now, endpoint.FirstFailureAt),
		LastFailureAt:     encodeTime(now, endpoint.LastFailureAt),
		RecoveredAt:       encodeTime(now, endpoint.RecoveredAt),
		RecoverySentAt:    encodeTime(now, endpoint.RecoverySentAt),
		LastSuccessAt:     encodeTime(now, endpoint.LastSuccessAt),
		BackoffUntil:      encodeTime(now, endpoint.BackoffUntil),
		FailureScore:      float32(endpoint.FailureScore),
		BudgetAt:          encodeTime(now, endpoint.RecoveryBudget.At),
		BudgetTokens:      float32(endpoint.RecoveryBudget.Tokens),
		BudgetUsed:        endpoint.RecoveryBudget.Used,
		RequiredTokens:    float32(endpoint.RequiredTokens),
		Latency:           packLatency(endpoint.Latency),
	}
}

// unpack decodes the snapshot of a destination that pack encoded. numberOf returns the number of
// the endpoint with a hash, or 0 if there is no such endpoint.
func unpack(packed []byte, dest int, numberOf func(uint32) policy.EndpointID) (*policy.Snapshot, error) {
	if len(packed) == 0 {
		return &policy.Snapshot{}, nil
	}
	var state packedState
	if err := packedDecoding.Unmarshal(packed, &state); err != nil {
		return &policy.Snapshot{}, fmt.Errorf("decode learned state: %w", err)
	}
	snapshot := &policy.Snapshot{Now: state.Now}
	for i := range state.Limiters {
		packed := &state.Limiters[i]
		limiter := policy.LimiterSnapshot{
			Destination: dest, Window: 1, RateMultiplier: 1, NominalRate: float64(packed.NominalRate),
			ReportedRate: float64(packed.ReportedRate), ReducedRate: float64(packed.ReducedRate),
			ReducedAt: decodeTime(state.Now, packed.ReducedAt), Latency: packed.Latency.unpack(),
		}
		for j := range packed.Endpoints {
			endpoint := &packed.Endpoints[j]
			limiter.Endpoints = append(limiter.Endpoints, endpoint.unpack(state.Now, numberOf(endpoint.Hash)))
		}
		snapshot.Limiters = append(snapshot.Limiters, limiter)
	}
	return snapshot, nil
}

// unpack reverses packEndpoint.
func (p *packedEndpoint) unpack(now policy.Time, number policy.EndpointID) policy.EndpointSnapshot {
	return policy.EndpointSnapshot{
		ID:                number,
		Unhealthy:         p.Unhealthy,
		LastFailureSilent: p.LastFailureSilent,
		FirstFailureAt:    decodeTime(now, p.FirstFailureAt),
		LastFailureAt:     decodeTime(now, p.LastFailureAt),
		RecoveredAt:       decodeTime(now, p.RecoveredAt),
		RecoverySentAt:    decodeTime(now, p.RecoverySentAt),
		LastSuccessAt:     decodeTime(now, p.LastSuccessAt),
		BackoffUntil:      decodeTime(now, p.BackoffUntil),
		FailureScore:      float64(p.FailureScore),
		RecoveryBudget: policy.TokenBucketSnapshot{
			At: decodeTime(now, p.BudgetAt), Tokens: float64(p.BudgetTokens), Used: p.BudgetUsed,
		},
		RequiredTokens: float64(p.RequiredTokens),
		Latency:        p.Latency.unpack(),
	}
}
