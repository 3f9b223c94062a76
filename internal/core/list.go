package core

import "troutusher/internal/membership"

// Phases of a member.
const (
	Up       = membership.Up
	Draining = membership.Draining
	Removed  = membership.Removed
)

// Member is an endpoint in discovery's list.
type Member = membership.Member

// EndpointList is discovery's list, or what changed in it.
type EndpointList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}
