package decide

// Avoids reports whether an endpoint gets no ordinary call now: the list says
// that it drains, it is held to be out and has not answered since, it rests
// after a failure or a refusal, its wait is not over, or its identity is not
// proved.
func (p *Policy) Avoids(id Endpoint, now Time) bool {
	ep := p.eps[id]
	if ep == nil {
		return false
	}
	return ep.state != Ready || ep.barred > now || ep.lane.waitUntil > now || ep.sick && ep.goodAt == 0 || !ep.sick && ep.restUntil > now
}
