package runner

import (
	"fmt"
	"testing"

	"troutusher/internal/rehearsal/loadgen"
)

// A short form of `troutusher rehearse holiday`: of two thousand idle destinations, forty get messages
// within one second. Some of them have just recovered from an outage and are cold, others began to
// drain while they were idle, and one relay was killed and restarted before. The test guards against
// relays that lose state or messages of passivated destinations, or ignore what happened to them.
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
		t.Errorf("violation: %+v", v)
	}
	for _, failure := range o.RelayFailures {
		t.Error(failure)
	}
	delivered := map[bool]int{} // number of messages to shops, by whether they were delivered
	for i, r := range o.Results {
		if p.Arrivals[i].Destination > 2 { // to a shop
			delivered[r.Outcome == loadgen.Delivered]++
		}
	}
	if delivered[true] < 100 || delivered[false] > 20 {
		t.Errorf("%d messages to shops delivered, %d not, want at least 100 and at most 20",
			delivered[true], delivered[false])
	}
}
