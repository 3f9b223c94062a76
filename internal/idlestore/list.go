package idlestore

// BeginList starts the update from a complete endpoint list. It makes all endpoints
// unconfirmed, in constant time: it only swaps which value of flagConfirmed means confirmed.
// PutEndpoint and ConfirmUnchanged then confirm the endpoints that the list contains.
func (s *Store) BeginList() {
	s.confirmedFlag ^= flagConfirmed
	s.confirmed = s.endpoints - s.confirmed
}

// EndList ends the update and removes the endpoints that are still unconfirmed. It returns
// the destinations that lost endpoints, in the order of their records.
func (s *Store) EndList() (destinations []int) {
	if s.confirmed == s.endpoints {
		return nil
	}
	type unlisted struct {
		dest int
		id   string
	}
	var removed []unlisted
	s.forEachRecord(func(r record) {
		for e := range packedEndpoints(r.endpoints) {
			if e.flags()&flagConfirmed != s.confirmedFlag {
				removed = append(removed, unlisted{r.dest, string(e.id())})
			}
		}
	})
	for _, e := range removed {
		s.RemoveEndpoint(e.id)
		if len(destinations) == 0 || destinations[len(destinations)-1] != e.dest {
			destinations = append(destinations, e.dest)
		}
	}
	return destinations
}
