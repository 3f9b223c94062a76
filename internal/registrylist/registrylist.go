// Package registrylist has the JSON form of the registry's endpoint lists, which the agent of discovery sends and
// the platform's configuration file contains. It has what the registry states beyond the stored form of a list:
// when the process of an endpoint started.
//
// The package decodes only. It does not check the members, and it uses no socket and no file.
package registrylist

import "troutusher/internal/core"

// List is an endpoint list, complete or a change, as the registry writes it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is an endpoint in a List.
type Member struct {
	core.Member
	UpSince int64 `json:"up_since_ms"` // see core.Member.StartedAt
}

// EndpointList returns the list in the form that the relay uses; nil if l is nil.
func (l *List) EndpointList() *core.EndpointList {
	if l == nil {
		return nil
	}
	list := &core.EndpointList{Revision: l.Revision, Complete: l.Complete}
	if l.Members != nil {
		list.Members = make([]core.Member, len(l.Members))
	}
	for i := range l.Members {
		list.Members[i] = l.Members[i].Member
		list.Members[i].StartedAt = l.Members[i].UpSince
	}
	return list
}
