package membersource

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"troutusher/internal/core"
	"troutusher/internal/membership"
)

// FileName is the name of the members file in a relay's state directory. It holds a
// membership.State as JSON: the last list of each source.
const FileName = "members"

// saveInterval is the shortest time between two saves, except that drains and removals are saved at
// once.
const saveInterval = time.Second

// restoredEpoch is the epoch of the list that the event loop started with, which this process did
// not receive from the registry.
const restoredEpoch = "before"

// Start describes the lists with which a process starts.
type Start struct {
	// List is the list that the event loop started with.
	List *core.EndpointList
	// Watched is the list from whose revision the first watch of the registry continues, and Epoch the epoch of
	// that watch. Watched is nil if the first call fetches the complete list.
	Watched *core.EndpointList
	Epoch   string
}

// Restore loads the members that an earlier process saved, and publishes the differences from the list that the
// event loop started with.
func (m *Merger) Restore(start Start) {
	list := start.List
	m.load()
	m.continueWatch(start)
	if _, _, known := m.view.Position(m.registry); !known {
		m.applyRegistryList(restoredEpoch, list)
	}
	m.registryRevision = list.Revision
	// Step until no change is due. The changes are not published one by one: the comparison below
	// finds those that the event loop does not know.
	for m.view.NextDeadline() <= m.now() && m.view.NextDeadline() > 0 {
		if len(m.view.Step(m.now())) == 0 {
			break
		}
	}
	// An endpoint that etcd lists as draining may be up in the event loop's list.
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

// continueWatch makes the list of the registry one that the first watch continues, so that the view accepts
// its changes: the saved list, or the watched one if that is newer. Revisions of different addresses can't be
// compared; then the saved list stays until a complete one is fetched.
func (m *Merger) continueWatch(start Start) {
	if start.Watched == nil {
		return
	}
	epoch, revision, known := m.view.Position(m.registry)
	switch {
	case known && epoch != restoredEpoch && addressOf(epoch) != addressOf(start.Epoch):
	case known && revision >= start.Watched.Revision:
		m.view.ContinueAs(m.registry, start.Epoch)
	case !known && start.List.Revision >= start.Watched.Revision:
		m.applyRegistryList(start.Epoch, start.List)
	default:
		m.applyRegistryList(start.Epoch, start.Watched)
	}
}

func (m *Merger) applyRegistryList(epoch string, list *core.EndpointList) {
	m.view.Apply(m.now(), &membership.Update{
		Source: m.registry, Epoch: epoch, Revision: list.Revision, Complete: true, Members: list.Members,
	})
}

// addressOf returns the registry's address in an epoch.
func addressOf(epoch string) string {
	address, _, _ := strings.Cut(epoch, "#")
	return address
}

// load reads the members file into the view. It logs and ignores a file that cannot be read or decoded.
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
		m.options.Log.Warn("members: saved file is unusable, starting without it", "err", err)
		return
	}
	m.view.Import(m.now(), state)
}

// save replaces the members file atomically.
func (m *Merger) save() {
	m.unsaved, m.saveNow, m.lastSaved = false, false, time.Now()
	text, err := json.Marshal(m.view.Export(m.now()))
	if err == nil {
		err = renameio.WriteFile(m.path, text, 0o600)
	}
	if err != nil {
		m.options.Log.Warn("members: saving the members file failed, the previous file stays", "err", err)
	}
}
