package tlspolicy

import "fmt"

// The operator's settings determine the identity that a destination must prove. A rule
// that names the destination's number takes precedence over one that names its flavour,
// which is the kind of destination that the endpoint list states. A list can therefore move
// a destination out of a rule that names only its flavour, by stating another flavour for it.
// So operators name a destination whose identity matters by its number: no list can change
// which rule then applies.

// RuleTarget is the set of destinations that one rule applies to.
type RuleTarget struct {
	Rule         string
	Destinations []int
	Flavors      []string
}

// RuleSelector finds the rule that applies to a destination.
type RuleSelector struct {
	byDestination map[int]int    // index of the rule that names a destination's number
	byFlavor      map[string]int // index of the rule that names a flavour
}

// NewRuleSelector returns a selector for the rules with these targets. It returns an error
// if a destination or flavour is named twice, or if a rule names none.
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

// Find returns the index of a destination's rule among the targets; false if no rule
// applies, which means that the destination is reached without TLS.
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
