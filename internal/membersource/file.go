package membersource

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/google/renameio/v2"

	"troutusher/internal/core"
	"troutusher/internal/membership"
)

// FileName is the name of the members file in a relay's state folder. It holds a
// membership.State as JSON.
const FileName = "members"

// saveInterval is how often changes are saved that can wait.
const saveInterval = time.Second

// restoredEpoch is the epoch of a list that came from elsewhere than the registry.
const restoredEpoch = "before"

// Restore begins with what an earlier process saved, and with the list that the event
// loop goes by: it publishes only what differs from that.
func (m *Merger) Restore(list *core.EndpointList) {
	m.load()
	if _, _, known := m.view.Position(m.registry); !known {
		m.view.Apply(m.now(), &membership.Update{
			Source: m.registry, Epoch: restoredEpoch, Revision: list.Revision, Complete: true, Members: list.Members,
		})
	}
	m.registryRevision = list.Revision
	for m.view.NextDeadline() <= m.now() && m.view.NextDeadline() > 0 {
		if len(m.view.Step(m.now())) == 0 {
			break
		}
	}
	// What drains by etcd's word may be up in the event loop's list.
	listed := map[string]core.Member{}
	for _, member := range list.Members {
		listed[member.ID] = member
	}
	var changed []core.Member
	for _, member := range m.view.Members() {
		if listed[member.ID] != member {
			changed = append(changed, member)
		}
	}
	m.publish(changed)
}

// load reads the members file. One that cannot be decoded is left out.
func (m *Merger) load() {
	text, err := os.ReadFile(m.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	state := &membership.State{}
	if err == nil {
		err = json.Unmarshal(text, state)
	}
	if err != nil {
		m.options.Log.Warn("members: set aside, nothing is remembered", "err", err)
		return
	}
	m.view.Import(m.now(), state)
}

// save replaces the members file, as a whole or not at all.
func (m *Merger) save() {
	m.unsaved, m.saveNow, m.lastSaved = false, false, time.Now()
	text, err := json.Marshal(m.view.Export(m.now()))
	if err == nil {
		err = renameio.WriteFile(m.path, text, 0o600)
	}
	if err != nil {
		m.options.Log.Warn("members: not kept", "err", err)
	}
}
