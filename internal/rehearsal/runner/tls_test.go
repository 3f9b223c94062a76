package runner

import (
	"fmt"
	"testing"

	"troutusher/internal/rehearsal/loadgen"
)

const tlsPartner = `
[[partner]]
name = "banka"
endpoints = 2
capacity_per_s = 100
queue = 50
service_ms = { all = 5 }
tls = { full_weight = 1, told_weight = 1, wants_ours = true }
`

// tlsFault returns the [[fault]] table of a fault of the TLS partner.
func tlsFault(kind string, part, at, length float64) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\npartner = \"banka\"\npart = %v\nat_s = %v\nlength_s = %v\n", kind, part,
		at, length)
}

// The endpoints of a partner over TLS rotate their certificates, present invalid ones or reset
// handshakes. Real relays must neither break a rule nor fail to deliver a message. The test guards
// against relays that reject a rotated certificate, send messages to an endpoint with an invalid one,
// or give up a message because of a failed handshake.
func TestRelaysThroughTLSRotations(t *testing.T) {
	for name, faults := range map[string]string{
		"rotation and lost sessions": tlsFault("tls_rotate", 1, 0.5, 2) + tlsFault("tls_forget", 0.5, 1, 0.5),
		"invalid certificates": tlsFault("tls_expired", 0.5, 0.5, 1) + tlsFault("crash", 0.5, 0.6, 0.1) + tlsFault(
			"tls_wrong_name", 0.5, 1.8, 0.6,
		) +
			tlsFault("tls_wrong_root", 0.5, 2.6, 0.4),
		"handshakes reset": tlsFault("tls_reset", 0.5, 0.5, 1) + tlsFault("crash", 0.5, 0.6, 0.1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := play(t, loadPlan(t, 3, 30, tlsPartner+faults), ownRelayOptions(t))
			for _, v := range o.Violations {
				t.Errorf("violation: %+v", v)
			}
			for i, r := range o.Results {
				if r.Outcome != loadgen.Delivered {
					t.Errorf("message %d: outcome %v, want Delivered", i, r.Outcome)
				}
			}
		})
	}
}
