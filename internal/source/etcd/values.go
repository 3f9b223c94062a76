package etcd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	"troutusher/internal/membership"
)

// Each value is a JSON object with a version:
//
//	PREFIX/endpoints/ID   {"v":1,"host_port":"10.1.0.18:6379","dest":3,
//	                       "locality":"a","flavor":"m2","phase":"up","rate":40}
//	PREFIX/partners/DEST  {"v":1,"rate":40}
//	PREFIX/drains/ID      {"v":1}
//
// An endpoint is draining while its own phase is "draining" or a drain key with its ID
// exists. The drain may be put before the endpoint is published. The rate of an endpoint is
// its own rate if it has one, else the rate of its partner, the operator of its destination.

// layoutVersion is the only version of the values that can be decoded.
const layoutVersion = 1

const (
	maxRate = 1e9
	maxDest = 1<<16 - 1
)

// Endpoint is the value of an endpoint key.
type Endpoint struct {
	Version  int     `json:"v"`
	HostPort string  `json:"host_port"`
	Dest     int     `json:"dest"`
	Locality string  `json:"locality,omitempty"`
	Flavor   string  `json:"flavor,omitempty"`
	Phase    string  `json:"phase,omitempty"` // empty means membership.Up
	Rate     float64 `json:"rate,omitempty"`  // calls per second; 0 means the rate of the destination's partner
}

// Partner is the value of a partner key, whose name is the number of the destination that the
// partner operates.
type Partner struct {
	Version int     `json:"v"`
	Rate    float64 `json:"rate"` // calls per second, for each endpoint without a rate of its own
}

// Drain is the value of a drain key.
type Drain struct {
	Version int `json:"v"`
}

// decodeValue decodes a value and rejects unknown fields. Otherwise a misspelt field would
// look like a missing one.
func decodeValue(text []byte, value any, version *int) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("unexpected data after the JSON object")
	}
	if *version != layoutVersion {
		return fmt.Errorf("unsupported version %d, want %d", *version, layoutVersion)
	}
	return nil
}

// DecodeEndpoint decodes and validates the value of an endpoint key.
func DecodeEndpoint(text []byte) (e Endpoint, err error) {
	if err := decodeValue(text, &e, &e.Version); err != nil {
		return e, err
	}
	return e, e.check()
}

func (e *Endpoint) check() error {
	if err := checkHostPort(e.HostPort); err != nil {
		return err
	}
	switch {
	case e.Dest < 0 || e.Dest > maxDest:
		return fmt.Errorf("dest is %d, want 0 to %d", e.Dest, maxDest)
	case e.Phase != "" && e.Phase != membership.Up && e.Phase != membership.Draining:
		return fmt.Errorf("phase is %.40q, want %q or %q", e.Phase, membership.Up, membership.Draining)
	case len(e.Locality) > maxTextLength || len(e.Flavor) > maxTextLength:
		return fmt.Errorf("locality has %d bytes and flavor %d, want at most %d each",
			len(e.Locality), len(e.Flavor), maxTextLength)
	}
	return checkRate(e.Rate)
}

func checkHostPort(hostPort string) error {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil || host == "" || len(hostPort) > maxTextLength {
		return fmt.Errorf("host_port is %.60q, want host:port with a port other than 0", hostPort)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("host_port is %.60q, want host:port with a port other than 0", hostPort)
	}
	return nil
}

func checkRate(rate float64) error {
	if math.IsNaN(rate) || rate < 0 || rate > maxRate {
		return fmt.Errorf("rate is %v calls per second, want 0 to %v", rate, maxRate)
	}
	return nil
}

// decodePartner decodes and validates the name and the value of a partner key.
func decodePartner(name string, text []byte) (dest int, p Partner, err error) {
	n, err := strconv.ParseUint(name, 10, 16)
	if err != nil || strconv.FormatUint(n, 10) != name {
		return 0, p, fmt.Errorf("partner %.40q is not the number of a destination", name)
	}
	if err := decodeValue(text, &p, &p.Version); err != nil {
		return 0, p, err
	}
	return int(n), p, checkRate(p.Rate)
}

// CheckValue returns an error if a relay could not decode the value of a key.
func CheckValue(folder, name string, text []byte) error {
	switch folder {
	case EndpointsFolder:
		if err := CheckID(name); err != nil {
			return err
		}
		_, err := DecodeEndpoint(text)
		return err
	case PartnersFolder:
		_, _, err := decodePartner(name, text)
		return err
	}
	return nil
}
