package tlspolicy

import "fmt"

// Whom a destination must prove to be is chosen by the operator's settings: a
// destination that a rule names by number comes before one that a rule names by
// its flavour. Nothing in the partners' list can turn a destination that has a
// rule into one without: its flavour is the list's word, so a destination whose
// proof matters is named by number.

// RuleTarget is whom one rule is for.
type RuleTarget struct {
	Rule         string
	Destinations []int
	Flavors      []string
}

// RuleSelector finds the rule of a destination.
type RuleSelector struct {
	byDestination map[int]int
	byFlavor      map[string]int
}

// NewRuleSelector checks that no two rules name the same destination or flavour,
// and that each names one.
func NewRuleSelector(targets []RuleTarget) (*RuleSelector, error) {
	s := &RuleSelector{byDestination: map[int]int{}, byFlavor: map[string]int{}}
	for i, t := range targets {
		if len(t.Destinations)+len(t.Flavors) == 0 {
			return nil, fmt.Errorf("rule %q: names no destination and no flavour", t.Rule)
		}
		for _, d := range t.Destinations {
			if j, ok := s.byDestination[d]; ok {
				return nil, fmt.Errorf("rule %q: destination %d is named by rule %q", t.Rule, d, targets[j].Rule)
			}
			s.byDestination[d] = i
		}
		for _, f := range t.Flavors {
			if j, ok := s.byFlavor[f]; ok {
				return nil, fmt.Errorf("rule %q: flavour %q is named by rule %q", t.Rule, f, targets[j].Rule)
			}
			s.byFlavor[f] = i
		}
	}
	return s, nil
}

// Find is the number of the rule for a destination, false where it is reached
// without TLS.
func (s *RuleSelector) Find(dest int, flavor string) (int, bool) {
	if s == nil {
		return 0, false
	}
	i, ok := s.byDestination[dest]
	if !ok {
		i, ok = s.byFlavor[flavor]
	}
	return i, ok
}
