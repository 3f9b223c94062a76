package policy

// Avoids reports whether an endpoint gets no ordinary call now: the list says
// that it drains, it is held to be out and has not answered since, it rests
// after a failure or a refusal, its wait is not over, or its identity is not
// proved.
func (p *Engine) Avoids(id EndpointID, now Time) bool {
	ep := p.endpoints[id]
	if ep == nil {
		return false
	}
	return ep.state != Ready || ep.identityRejectedUntil > now || ep.limiter.retryAfterUntil > now || ep.unhealthy && ep.recoveredAt == 0 || !ep.unhealthy && ep.backoffUntil > now
}
