package core

import "troutusher/internal/membership"

// Phases of a member of the endpoint list.
const (
	Up       = membership.Up
	Draining = membership.Draining
	Removed  = membership.Removed
)

// Member is an endpoint in the endpoint list.
type Member = membership.Member

// EndpointList is the endpoint list from discovery, or a change to it.
type EndpointList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // Members contains every existing endpoint
	Members  []Member `json:"members"`
}
