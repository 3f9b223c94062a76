package departures

import (
	"slices"
	"testing"

	"troutusher/internal/core"
)

// up returns a member that is up at an address, as a registry lists it.
func up(id string, dest int, startedAt int64) core.Member {
	return core.Member{ID: id, HostPort: "127.0.0.1:1", Dest: dest, Phase: core.Up, StartedAt: startedAt}
}

// observed passes lists of a registry to a set, the first of which is complete and the others changes, and returns
// the endpoints that are up then, as a relay knows them.
func observed(set *Set, complete []int, lists ...[]core.Member) (usable []string) {
	for i, members := range lists {
		isComplete := slices.Contains(complete, i)
		list := set.Resolve(&core.EndpointList{Revision: int64(i + 1), Members: members}, isComplete)
		set.Observe(list, isComplete)
		if isComplete {
			usable = nil
		}
		for _, member := range list.Members {
			usable = slices.DeleteFunc(usable, func(id string) bool { return id == member.ID })
			if member.Phase == core.Up {
				usable = append(usable, member.ID)
			}
		}
	}
	slices.Sort(usable)
	return usable
}

// Guards against work for an endpoint that is gone reaching the process that has taken its address, if no list says
// that it is gone; and against endpoints that share an address on purpose and are taken for such a pair.
func TestDisplacedEndpoint(t *testing.T) {
	type lists = [][]core.Member
	removed := core.Member{ID: "new", Phase: core.Removed}
	elsewhere := up("old", 1, 5)
	elsewhere.HostPort = "127.0.0.1:2"
	tests := map[string]struct {
		lists    lists
		complete []int
		want     []string
	}{
		"a later process":         {lists{{up("old", 1, 5)}, {up("new", 2, 9)}}, []int{0}, []string{"new"}},
		"an earlier process":      {lists{{up("old", 1, 5)}, {up("new", 2, 3)}}, []int{0}, []string{"old"}},
		"started long ago":        {lists{{up("old", 1, 0)}, {up("new", 2, 9)}}, []int{0}, []string{"new"}},
		"one process serves both": {lists{{up("old", 1, 5)}, {up("new", 2, 5)}}, []int{0}, []string{"new", "old"}},
		"starts are not stated":   {lists{{up("old", 1, 0)}, {up("new", 2, 0)}}, []int{0}, []string{"new", "old"}},
		"one process serves three": {
			lists{
				{up("a", 1, 9), up("b", 2, 9), up("c", 3, 9)},
				{up("old", 1, 5)},
			},
			[]int{0},
			[]string{"a", "b", "c", "old"},
		},
		"a start is not repeated": {
			lists{{up("a", 1, 9), up("b", 2, 9)}, {up("a", 1, 0)}}, []int{0}, []string{"a", "b"},
		},
		"same destination":        {lists{{up("old", 1, 5)}, {up("new", 1, 9)}}, []int{0}, []string{"new", "old"}},
		"both in a complete list": {lists{{up("old", 1, 5), up("new", 2, 9)}}, []int{0}, []string{"new"}},
		"in the other order":      {lists{{up("new", 2, 9), up("old", 1, 5)}}, []int{0}, []string{"new"}},
		"both in a change":        {lists{{}, {up("new", 2, 9), up("old", 1, 5)}}, []int{0}, []string{"new"}},
		"the old one is named again": {
			lists{{up("old", 1, 5)}, {up("new", 2, 9)}, {up("old", 1, 5)}},
			[]int{0},
			[]string{"new"},
		},
		"a complete list again": {
			lists{
				{up("old", 1, 5)},
				{up("new", 2, 9)},
				{up("old", 1, 5), up("new", 2, 9)},
			},
			[]int{0, 2},
			[]string{"new"},
		},
		"the new one has gone": {
			lists{{up("old", 1, 5)}, {up("new", 2, 9)}, {removed}, {up("old", 1, 5)}}, []int{0}, nil,
		},
		"the old one starts again": {
			lists{{up("old", 1, 5)}, {up("new", 2, 9)}, {up("old", 1, 12)}}, []int{0}, []string{"old"},
		},
		"the old one moves": {
			lists{{up("old", 1, 5)}, {up("new", 2, 9)}, {elsewhere}}, []int{0}, []string{"new", "old"},
		},
	}
	for name, test := range tests {
		if got := observed(New(nil), test.complete, test.lists...); !slices.Equal(got, test.want) {
			t.Errorf("%s: usable = %v, want %v", name, got, test.want)
		}
	}
}

// Guards against the same after a start, whose lists do not state when processes started, and against a pair that
// shares an address and is split up because only one of the two is named with its start.
func TestDisplacedAfterStart(t *testing.T) {
	start := &core.EndpointList{Revision: 1, Members: []core.Member{up("old", 1, 0)}}
	set := New(nil)
	set.Track(start)
	list := set.Resolve(&core.EndpointList{Revision: 2, Members: []core.Member{up("new", 2, 9)}}, false)
	records := set.Observe(list, false)
	if len(list.Members) != 2 || list.Members[1].ID != "old" || list.Members[1].Phase != core.Removed {
		t.Errorf("Resolve() = %+v, want the new endpoint, and the old one removed", list.Members)
	}
	masked := New(replay(records)).Mask(start)
	if masked.Members[0].Phase != core.Draining {
		t.Errorf("after a restart the displaced endpoint is %s, want draining", masked.Members[0].Phase)
	}
	shared := New(nil)
	shared.Track(&core.EndpointList{Revision: 1, Members: []core.Member{up("a", 1, 0), up("b", 2, 0)}})
	list = shared.Resolve(&core.EndpointList{Revision: 2, Members: []core.Member{up("a", 1, 9)}}, false)
	if len(list.Members) != 1 || list.Members[0].Phase != core.Up {
		t.Errorf("Resolve() of one of two that share an address = %+v, want it alone, up", list.Members)
	}
}

// Guards against memory that grows with each endpoint that is displaced.
func TestDisplacedAreBounded(t *testing.T) {
	set := New(nil)
	old, added := &core.EndpointList{Revision: 1}, &core.EndpointList{Revision: 2}
	for id := range maxTracked + 100 {
		gone, newer := member(id, core.Up, id+1), member(id+2*maxTracked, core.Up, id+1)
		newer.Dest, newer.StartedAt = 2, 9
		old.Members, added.Members = append(old.Members, gone), append(added.Members, newer)
	}
	set.Observe(set.Resolve(old, false), false)
	set.Observe(set.Resolve(added, false), false)
	if len(set.displaced) != maxTracked || len(set.endpoints) > maxTracked {
		t.Errorf("%d displaced, %d tracked endpoints, want %d and at most as many", len(set.displaced),
			len(set.endpoints), maxTracked)
	}
}
