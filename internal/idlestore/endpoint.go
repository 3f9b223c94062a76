package idlestore

import (
	"encoding/binary"
	"math"
	"net/netip"
)

// packedEndpoint is an encoded endpoint in a record. It consists of its flags (one byte),
// its id, its address, the number of its tag (uvarint), and its rate. The id is preceded by
// its length (uvarint), and so is an address without flagPackedAddr.
type packedEndpoint []byte

// Flags of a packed endpoint.
const (
	flagDraining    = 1 << 0
	flagConfirmed   = 1 << 1 // confirmed by the current list if this bit equals Store.confirmedFlag
	flagPackedAddr  = 1 << 2 // the address is stored as an IPv4 address and a port, in six bytes
	flagIntegerRate = 1 << 3 // the rate is stored as a uvarint; without the flag, as a float64
)

const (
	packedAddrBytes = 6
	floatBytes      = 8
)

// tag is the pair of zone (locality) and kind (flavor) of an endpoint. Many endpoints share a tag, so
// the store holds each distinct tag once and an endpoint contains only its number.
type tag struct{ locality, flavor string }

func (p packedEndpoint) flags() byte { return p[0] }

// id returns the endpoint's id. The slice aliases the record.
func (p packedEndpoint) id() []byte {
	id, _ := cutText(p[1:])
	return id
}

// packedEndpoints returns an iterator over the packed endpoints in b.
func packedEndpoints(b []byte) func(yield func(packedEndpoint) bool) {
	return func(yield func(packedEndpoint) bool) {
		for len(b) > 0 {
			size := endpointSize(b)
			if !yield(packedEndpoint(b[:size])) {
				return
			}
			b = b[size:]
		}
	}
}

// endpointSize returns the size in bytes of the first packed endpoint in b.
func endpointSize(b []byte) int {
	flags := b[0]
	_, rest := cutText(b[1:])
	if flags&flagPackedAddr != 0 {
		rest = rest[packedAddrBytes:]
	} else {
		_, rest = cutText(rest)
	}
	_, rest = cutUvarint(rest) // the tag
	if flags&flagIntegerRate != 0 {
		_, rest = cutUvarint(rest)
	} else {
		rest = rest[floatBytes:]
	}
	return len(b) - len(rest)
}

// cutUvarint decodes the uvarint at the start of b and returns it with the bytes after it.
func cutUvarint(b []byte) (value uint64, rest []byte) {
	value, n := binary.Uvarint(b)
	return value, b[n:]
}

// cutText returns the text at the start of b, which is preceded by its length, and the
// bytes after it.
func cutText(b []byte) (text, rest []byte) {
	length, rest := cutUvarint(b)
	return rest[:length], rest[length:]
}

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// decodeEndpoints decodes the packed endpoints in b.
func (s *Store) decodeEndpoints(b []byte) []Endpoint {
	var list []Endpoint
	for e := range packedEndpoints(b) {
		list = append(list, s.decodeEndpoint(e))
	}
	return list
}

func (s *Store) decodeEndpoint(p packedEndpoint) Endpoint {
	flags := p.flags()
	id, rest := cutText(p[1:])
	e := Endpoint{
		ID:          string(id),
		Draining:    flags&flagDraining != 0,
		Unconfirmed: flags&flagConfirmed != s.confirmedFlag,
	}
	if flags&flagPackedAddr != 0 {
		addr, port := netip.AddrFrom4([4]byte(rest[:4])), binary.BigEndian.Uint16(rest[4:])
		e.HostPort = netip.AddrPortFrom(addr, port).String()
		rest = rest[packedAddrBytes:]
	} else {
		var hostPort []byte
		hostPort, rest = cutText(rest)
		e.HostPort = string(hostPort)
	}
	number, rest := cutUvarint(rest)
	e.Locality, e.Flavor = s.tags[number].locality, s.tags[number].flavor
	if flags&flagIntegerRate != 0 {
		rate, _ := cutUvarint(rest)
		e.Rate = float64(rate)
	} else {
		e.Rate = math.Float64frombits(binary.BigEndian.Uint64(rest))
	}
	return e
}

// appendEndpoint encodes an endpoint, marks it as confirmed and appends it to b.
func (s *Store) appendEndpoint(b []byte, e *Endpoint) []byte {
	flags := s.confirmedFlag
	if e.Draining {
		flags |= flagDraining
	}
	// The address is packed only if decoding gives the same text again.
	addr, err := netip.ParseAddrPort(e.HostPort)
	var text [len("255.255.255.255:65535")]byte
	if err == nil && addr.Addr().Is4() && string(addr.AppendTo(text[:0])) == e.HostPort {
		flags |= flagPackedAddr
	}
	if isUint32(e.Rate) {
		flags |= flagIntegerRate
	}
	b = append(b, flags)
	b = appendText(b, e.ID)
	if flags&flagPackedAddr != 0 {
		ip := addr.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, addr.Port())
	} else {
		b = appendText(b, e.HostPort)
	}
	b = binary.AppendUvarint(b, uint64(s.tagNumber(tag{e.Locality, e.Flavor})))
	if flags&flagIntegerRate != 0 {
		return binary.AppendUvarint(b, uint64(e.Rate))
	}
	return binary.BigEndian.AppendUint64(b, math.Float64bits(e.Rate))
}

// isUint32 reports whether a number can be converted to a uint32 and back without a
// change.
func isUint32(x float64) bool {
	return x >= 0 && x < 1<<32 && x == math.Trunc(x) && !math.Signbit(x)
}

// tagNumber returns the number of a tag. It adds the tag if the store does not have it.
func (s *Store) tagNumber(t tag) int {
	number, ok := s.tagNumbers[t]
	if !ok {
		number = len(s.tags)
		s.tags = append(s.tags, t)
		s.tagNumbers[t] = number
	}
	return number
}

// withoutEndpoint returns a copy of the packed endpoints in b without the endpoint id.
func withoutEndpoint(b []byte, id string) []byte {
	var remaining []byte
	for e := range packedEndpoints(b) {
		if string(e.id()) != id {
			remaining = append(remaining, e...)
		}
	}
	return remaining
}
