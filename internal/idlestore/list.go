package idlestore

// BeginList begins a complete endpoint list. All endpoints become unconfirmed;
// PutEndpoint and ConfirmUnchanged confirm them again.
func (s *Store) BeginList() {
	s.confirmedFlag ^= flagConfirmed
	s.confirmed = s.endpoints - s.confirmed
}

// EndList ends the list and removes the unconfirmed endpoints. It returns the
// destinations of these, in the order of their records.
func (s *Store) EndList() (lost []int) {
	if s.confirmed == s.endpoints {
		return nil
	}
	type unlisted struct {
		dest int
		id   string
	}
	var gone []unlisted
	s.eachRecord(func(r record) {
		for e := range packedEndpoints(r.endpoints) {
			if e.flags()&flagConfirmed != s.confirmedFlag {
				gone = append(gone, unlisted{r.dest, string(e.id())})
			}
		}
	})
	for _, e := range gone {
		s.RemoveEndpoint(e.id)
		if len(lost) == 0 || lost[len(lost)-1] != e.dest {
			lost = append(lost, e.dest)
		}
	}
	return lost
}
