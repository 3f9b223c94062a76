package runner

import (
	"fmt"
	"testing"

	"troutusher/internal/rehearsal/loadgen"
)

// The short form of `troutusher rehearse holiday`: of two thousand destinations
// that rest forty are sent to in one second, of which some have just come back
// cold, some drain while they rest, and one relay was killed before. All rules are
// kept, and nobody is forgotten.
func TestHolidayInShort(t *testing.T) {
	shops := func(name string, count int) string {
		return fmt.Sprintf(
			"[[partner]]\nname = %q\nkind = \"shop\"\ncount = %d\nshare = 0.001\nendpoints = 2\n"+
				"capacity_per_s = 15\nqueue = 20\n"+
				"service_ms = { all = 40 }\nreturn_s = 2\nreturn_burst = 3\n",
			name,
			count,
		)
	}
	p := loadPlan(
		t,
		4.5,
		10,
		"[relays]\ncount = 2\nawake = 4\nslots = 32\nheld = 300\n"+shops("shop", 30)+shops("cold", 10)+
			"[[fault]]\nkind = \"crash\"\npartner = \"cold\"\nat_s = 0.3\nlength_s = 1.5\n"+
			"[[fault]]\nkind = \"drain\"\npartner = \"shop\"\npart = 0.5\nat_s = 1\nlength_s = 3\n"+
			"[[fault]]\nkind = \"relay_kill\"\nrelay = 1\nat_s = 0.8\nlength_s = 0.3\n",
	)
	p.Scenario.Discovery.IdleDestinations = 2000
	o := play(t, p, ownRelayOptions(t))
	for _, v := range o.Violations {
		t.Errorf("%+v", v)
	}
	for _, c := range o.RelayFailures {
		t.Error(c)
	}
	done := map[bool]int{}
	for i, r := range o.Results {
		if p.Arrivals[i].Destination > 2 { // a shop's
			done[r.Outcome == loadgen.Delivered]++
		}
	}
	if done[true] < 100 || done[false] > 20 {
		t.Errorf("of the shops' messages %d were delivered, %d not", done[true], done[false])
	}
}
