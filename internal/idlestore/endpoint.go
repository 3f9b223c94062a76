package idlestore

import (
	"encoding/binary"
	"math"
	"net/netip"
)

// packedEndpoint is the bytes of one endpoint in a record: its flags, its id, its
// address, the number of its tag, and its size. Texts follow their length (uvarint).
type packedEndpoint []byte

// Flags of a packed endpoint.
const (
	flagDraining    = 1 << 0
	flagConfirmed   = 1 << 1 // which of two complete lists it was in last
	flagPackedAddr  = 1 << 2 // the address is four bytes and a port
	flagIntegerSize = 1 << 3 // the size is a uvarint, else a float64
)

const (
	packedAddrSize = 6
	floatSize      = 8
)

// tag is what is the same for many endpoints.
type tag struct{ locality, flavor string }

func (p packedEndpoint) flags() byte { return p[0] }

// id is the endpoint's id, in the bytes of the record.
func (p packedEndpoint) id() []byte {
	id, _ := cutText(p[1:])
	return id
}

// packedEndpoints yields the endpoints in their packed bytes.
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

// endpointSize is how many bytes the first of some packed endpoints takes.
func endpointSize(b []byte) int {
	flags := b[0]
	_, rest := cutText(b[1:])
	if flags&flagPackedAddr != 0 {
		rest = rest[packedAddrSize:]
	} else {
		_, rest = cutText(rest)
	}
	_, rest = cutUvarint(rest) // the tag
	if flags&flagIntegerSize != 0 {
		_, rest = cutUvarint(rest)
	} else {
		rest = rest[floatSize:]
	}
	return len(b) - len(rest)
}

func cutUvarint(b []byte) (value uint64, rest []byte) {
	value, n := binary.Uvarint(b)
	return value, b[n:]
}

func cutText(b []byte) (text, rest []byte) {
	length, rest := cutUvarint(b)
	return rest[:length], rest[length:]
}

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// decodeEndpoints unpacks all endpoints of a record.
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
		rest = rest[packedAddrSize:]
	} else {
		var hostPort []byte
		hostPort, rest = cutText(rest)
		e.HostPort = string(hostPort)
	}
	number, rest := cutUvarint(rest)
	e.Locality, e.Flavor = s.tags[number].locality, s.tags[number].flavor
	if flags&flagIntegerSize != 0 {
		size, _ := cutUvarint(rest)
		e.Size = float64(size)
	} else {
		e.Size = math.Float64frombits(binary.BigEndian.Uint64(rest))
	}
	return e
}

// appendEndpoint packs an endpoint that the list names.
func (s *Store) appendEndpoint(b []byte, e *Endpoint) []byte {
	flags := s.confirmedFlag
	if e.Draining {
		flags |= flagDraining
	}
	// Only an address that is read back as it was written is packed.
	addr, err := netip.ParseAddrPort(e.HostPort)
	var text [len("255.255.255.255:65535")]byte
	if err == nil && addr.Addr().Is4() && string(addr.AppendTo(text[:0])) == e.HostPort {
		flags |= flagPackedAddr
	}
	if isUint32(e.Size) {
		flags |= flagIntegerSize
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
	if flags&flagIntegerSize != 0 {
		return binary.AppendUvarint(b, uint64(e.Size))
	}
	return binary.BigEndian.AppendUint64(b, math.Float64bits(e.Size))
}

// isUint32 reports whether a number is read back the same from 32 bits.
func isUint32(x float64) bool {
	return x >= 0 && x < 1<<32 && x == math.Trunc(x) && !math.Signbit(x)
}

// tagNumber is the number of a tag, which it gets when it comes first.
func (s *Store) tagNumber(t tag) int {
	number, ok := s.tagNumbers[t]
	if !ok {
		number = len(s.tags)
		s.tags = append(s.tags, t)
		s.tagNumbers[t] = number
	}
	return number
}

// withoutEndpoint copies packed endpoints, but for one.
func withoutEndpoint(b []byte, id string) []byte {
	var left []byte
	for e := range packedEndpoints(b) {
		if string(e.id()) != id {
			left = append(left, e...)
		}
	}
	return left
}
