package departures

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"troutusher/internal/core"
)

// member returns a member of a list at an address of its own.
func member(id int, phase string, address int) core.Member {
	hostPort := fmt.Sprintf("127.0.0.1:%d", address)
	return core.Member{ID: fmt.Sprintf("s-%d", id), HostPort: hostPort, Dest: 1, Phase: phase}
}

// replay returns the departures that a log with these records holds.
func replay(records []*core.Record) []*core.Record {
	departed := map[string]*core.Record{}
	for _, record := range records {
		delete(departed, record.ID)
		if record.Kind == core.RecordEndpoint {
			departed[record.ID] = record
		}
	}
	return slices.Collect(maps.Values(departed))
}

// Guards against a start that takes an endpoint for usable although the process before it had heard
// that it drains, is removed or has moved: random changes and complete lists, and after each of them a
// start with every earlier complete list. Endpoints that are up must not be masked.
func TestMaskAfterEachList(t *testing.T) {
	const endpoints, lists = 6, 30
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		current := map[int]core.Member{}
		set := New(nil)
		var records []*core.Record
		var earlier []*core.EndpointList
		for revision := int64(1); revision <= lists; revision++ {
			list := &core.EndpointList{Revision: revision, Complete: revision == 1 || rng.IntN(4) == 0}
			for id := range endpoints {
				if rng.IntN(3) > 0 {
					continue
				}
				phase := []string{core.Up, core.Up, core.Draining, core.Removed}[rng.IntN(4)]
				current[id] = member(id, phase, 1000+id+10*rng.IntN(2))
				list.Members = append(list.Members, current[id])
			}
			if list.Complete {
				list.Members = nil
				for _, id := range slices.Sorted(maps.Keys(current)) {
					if current[id].Phase != core.Removed {
						list.Members = append(list.Members, current[id])
					}
				}
				earlier = append(earlier, list)
			}
			records = append(records, set.Observe(list, list.Complete)...)
			if rng.IntN(8) == 0 { // a restart with an earlier list
				start := earlier[rng.IntN(len(earlier))]
				set = New(replay(records))
				set.Track(set.Mask(start))
				records = append(records, set.Observe(&core.EndpointList{
					Revision: revision, Members: slices.Collect(maps.Values(current)),
				}, false)...)
			}
			checkMasks(t, seed, New(replay(records)), earlier, current)
		}
	}
}

// checkMasks checks the lists that a start uses against the endpoints as the relay last heard of them.
func checkMasks(t *testing.T, seed uint64, set *Set, lists []*core.EndpointList, current map[int]core.Member) {
	t.Helper()
	byID := map[string]core.Member{}
	for _, m := range current {
		byID[m.ID] = m
	}
	for _, list := range lists {
		masked := set.Mask(list)
		for i, before := range list.Members {
			now, usable := byID[before.ID], masked.Members[i].Phase == core.Up
			if want := now.Phase == core.Up && now.HostPort == before.HostPort; usable && !want {
				t.Fatalf(
					"seed %d: %+v counts as usable in list %d, last heard of as %+v",
					seed,
					before,
					list.Revision,
					now,
				)
			} else if !usable && want && before.Phase == core.Up {
				t.Fatalf("seed %d: %+v is masked in list %d, last heard of as %+v", seed, before, list.Revision, now)
			}
		}
	}
}

// Guards against a log that grows without a bound while endpoints are replaced, and against dropping
// a departure other than the oldest.
func TestRecordsAreBounded(t *testing.T) {
	set := New(nil)
	var records []*core.Record
	for id := range maxRecords + 10 {
		list := &core.EndpointList{Revision: int64(id), Members: []core.Member{member(id, core.Removed, id)}}
		records = append(records, set.Observe(list, false)...)
	}
	departed := replay(records)
	if len(departed) != maxRecords {
		t.Errorf("records in the log = %d, want %d", len(departed), maxRecords)
	}
	for _, record := range departed {
		if record.Revision < 10 {
			t.Errorf("record of revision %d is still there, want the 10 oldest dropped", record.Revision)
		}
	}
}

// Guards against a returned endpoint that stays unused, and against a list that is newer than the
// departure.
func TestMaskEnds(t *testing.T) {
	set := New(nil)
	up := &core.EndpointList{Revision: 5, Members: []core.Member{member(1, core.Up, 1)}}
	set.Track(up)
	set.Observe(&core.EndpointList{Revision: 6, Members: []core.Member{{ID: "s-1", Phase: core.Removed}}}, false)
	if got := set.Mask(up).Members[0].Phase; got != core.Draining {
		t.Errorf("phase in an older list = %s, want %s", got, core.Draining)
	}
	newer := &core.EndpointList{Revision: 7, Members: up.Members}
	if got := set.Mask(newer).Members[0].Phase; got != core.Up {
		t.Errorf("phase in a newer list = %s, want %s", got, core.Up)
	}
	if records := set.Observe(newer, false); len(records) != 1 || records[0].Address != up.Members[0].HostPort {
		t.Errorf("records of the endpoint's return = %v, want one with its address %s", records, up.Members[0].HostPort)
	}
	if got := set.Mask(up).Members[0].Phase; got != core.Up {
		t.Errorf("phase after the return = %s, want %s", got, core.Up)
	}
}
