package tlspolicy

import "fmt"

// The operator's settings choose the identity that a destination must prove. A rule
// that names the destination's number precedes one that names its flavour. Nothing in
// an endpoint list can turn a destination that has a rule into one without, but for
// its flavour, which the list says: a destination whose identity matters is named by
// number.

// RuleTarget is what one rule applies to.
type RuleTarget struct {
	Rule         string
	Destinations []int
	Flavors      []string
}

// RuleSelector finds the rule of a destination.
type RuleSelector struct {
	byDestination map[int]int // indexes of rules
	byFlavor      map[string]int
}

// NewRuleSelector returns an error where two rules name the same destination or flavour,
// or one names neither.
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

// Find returns the index of a destination's rule among the targets; false where it is
// reached without TLS.
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
