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

// Values are JSON objects with a version:
//
//	PREFIX/endpoints/ID   {"v":1,"host_port":"10.1.0.18:6379","dest":3,
//	                       "locality":"a","flavor":"m2","phase":"up","rate":40}
//	PREFIX/partners/DEST  {"v":1,"rate":40}
//	PREFIX/drains/ID      {"v":1}
//
// An endpoint drains while its own phase says so or a drain of it lies there, whether or
// not it has been published yet. Its rate is its own, or its partner's.

// layoutVersion is the version of the values that can be read. A newer one cannot.
const layoutVersion = 1

const (
	maxRate = 1e9
	maxDest = 1<<16 - 1
)

// Endpoint is the value of an endpoint.
type Endpoint struct {
	Version  int     `json:"v"`
	HostPort string  `json:"host_port"`
	Dest     int     `json:"dest"`
	Locality string  `json:"locality,omitempty"`
	Flavor   string  `json:"flavor,omitempty"`
	Phase    string  `json:"phase,omitempty"` // up where it is empty
	Rate     float64 `json:"rate,omitempty"`  // calls a second; 0 for what the partner's value says
}

// Partner is the value of a destination.
type Partner struct {
	Version int     `json:"v"`
	Rate    float64 `json:"rate"` // calls a second of its endpoints that state none
}

// Drain is the value of a drain.
type Drain struct {
	Version int `json:"v"`
}

// decodeValue decodes a value as strictly as it was written: what is misspelt must not be
// taken for what was left out.
func decodeValue(text []byte, value any, version *int) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more behind the object")
	}
	if *version != layoutVersion {
		return fmt.Errorf("version %d, %d is known", *version, layoutVersion)
	}
	return nil
}

// DecodeEndpoint decodes and checks the value of an endpoint.
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
		return fmt.Errorf("dest %d", e.Dest)
	case e.Phase != "" && e.Phase != membership.Up && e.Phase != membership.Draining:
		return fmt.Errorf("phase %.40q", e.Phase)
	case len(e.Locality) > maxTextLength || len(e.Flavor) > maxTextLength:
		return errors.New("locality or flavor too long")
	}
	return checkRate(e.Rate)
}

func checkHostPort(hostPort string) error {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil || host == "" || len(hostPort) > maxTextLength {
		return fmt.Errorf("host_port %.60q", hostPort)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("host_port %.60q", hostPort)
	}
	return nil
}

func checkRate(rate float64) error {
	if math.IsNaN(rate) || rate < 0 || rate > maxRate {
		return fmt.Errorf("rate %v", rate)
	}
	return nil
}

// decodePartner decodes and checks the value of a destination.
func decodePartner(name string, text []byte) (dest int, p Partner, err error) {
	n, err := strconv.ParseUint(name, 10, 16)
	if err != nil || strconv.FormatUint(n, 10) != name {
		return 0, p, fmt.Errorf("partner %.40q is no destination", name)
	}
	if err := decodeValue(text, &p, &p.Version); err != nil {
		return 0, p, err
	}
	return int(n), p, checkRate(p.Rate)
}

// CheckValue returns an error that names what a relay would find wrong with a value, or
// nil.
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
