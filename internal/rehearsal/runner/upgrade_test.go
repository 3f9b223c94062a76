package runner

import (
	"fmt"
	"strings"
	"testing"

	"troutusher/internal/rehearsal/loadgen"
)

// A short form of `troutusher rehearse upgrade-loop`: a relay is upgraded several times under load,
// and no rule may be broken. In one case every second upgrade loses one of its two processes to a
// kill. In the other, without kills, every message must be delivered, and at most two requests per
// upgrade may meet a closed connection.
func TestUpgradesInARow(t *testing.T) {
	const intervalS = 1.2
	for name, forms := range map[string][]string{
		"no kills": {"", "", "", ""}, "every second upgrade killed": {"kill_old", "", "kill_new", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var faults strings.Builder
			faults.WriteString("[relays]\ncount = 1\n")
			for i, form := range forms {
				fmt.Fprintf(&faults, "[[fault]]\nkind = \"upgrade\"\nat_s = %v\n", 0.4+intervalS*float64(i))
				if form != "" {
					fmt.Fprintf(&faults, "form = %q\n", form)
				}
			}
			p := loadPlan(t, intervalS*float64(len(forms))+0.4, 25, faults.String())
			t.Logf("seed %d", p.Seed)
			o := play(t, p, ownRelayOptions(t))
			for _, v := range o.Violations {
				t.Errorf("violation: %+v", v)
			}
			for _, failure := range o.RelayFailures {
				t.Error(failure)
			}
			if name != "no kills" {
				return
			}
			if o.UnservedRequests > 2*len(forms) {
				t.Errorf("%d requests met a closed connection, want at most %d", o.UnservedRequests, 2*len(forms))
			}
			for i, r := range o.Results {
				if r.Outcome != loadgen.Delivered {
					t.Errorf("message %d: outcome %v, want Delivered", i, r.Outcome)
				}
			}
		})
	}
}
