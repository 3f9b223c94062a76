package runner

import (
	"fmt"
	"strings"
	"testing"

	"troutusher/internal/rehearsal/loadgen"
)

// The short form of `troutusher rehearse upgrade-loop`: one upgrade after
// another under load, one of the two processes killed in every other, judged by
// the checker. Where nobody is killed no message is lost, refused or cut off,
// and two requests an upgrade at most meet a closed connection.
func TestUpgradesInARow(t *testing.T) {
	const each = 1.2
	for name, forms := range map[string][]string{
		"nobody killed": {"", "", "", ""}, "every other killed": {"kill_old", "", "kill_new", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var faults strings.Builder
			faults.WriteString("[relays]\ncount = 1\n")
			for i, form := range forms {
				fmt.Fprintf(&faults, "[[fault]]\nkind = \"upgrade\"\nat_s = %v\n", 0.4+each*float64(i))
				if form != "" {
					fmt.Fprintf(&faults, "form = %q\n", form)
				}
			}
			p := loadPlan(t, each*float64(len(forms))+0.4, 25, faults.String())
			t.Logf("seed %d", p.Seed)
			o := play(t, p, ownRelayOptions(t))
			for _, v := range o.Violations {
				t.Errorf("%+v", v)
			}
			for _, c := range o.RelayFailures {
				t.Error(c)
			}
			if name != "nobody killed" {
				return
			}
			if o.UnservedRequests > 2*len(forms) {
				t.Errorf("%d requests met a closed connection", o.UnservedRequests)
			}
			for i, r := range o.Results {
				if r.Outcome != loadgen.Delivered {
					t.Errorf("message %d: %v", i, r.Outcome)
				}
			}
		})
	}
}
