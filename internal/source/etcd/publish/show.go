package publish

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"troutusher/internal/membership"
	"troutusher/internal/source/etcd"
)

// PublishedEndpoint is an endpoint as it is published.
type PublishedEndpoint struct {
	ID       string
	Endpoint etcd.Endpoint
	Draining bool  // there is a drain key for it
	Revision int64 // of the last change of the endpoint key
	Err      error // the error of decoding its value, if any
}

// Show returns all published endpoints, sorted by id.
func (p *Publisher) Show(ctx context.Context) ([]PublishedEndpoint, error) {
	endpoints, drains, err := p.readEndpointsAndDrains(ctx)
	if err != nil {
		return nil, err
	}
	var all []PublishedEndpoint
	for id, v := range endpoints {
		e := PublishedEndpoint{ID: id, Draining: drains[id].modRevision > 0, Revision: v.modRevision}
		e.Endpoint, e.Err = etcd.DecodeEndpoint([]byte(v.text))
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b PublishedEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return all, nil
}

// Text returns a line about the endpoint for a terminal, with columns separated by tabs.
func (e *PublishedEndpoint) Text() string {
	if e.Err != nil {
		return e.ID + "\tcannot be read: " + e.Err.Error()
	}
	phase := e.Endpoint.Phase
	if phase == "" {
		phase = membership.Up
	}
	if e.Draining {
		phase += ", drained"
	}
	columns := []string{
		e.ID, e.Endpoint.HostPort, strconv.Itoa(e.Endpoint.Dest), phase, strconv.FormatInt(e.Revision, 10),
	}
	return strings.Join(columns, "\t")
}
