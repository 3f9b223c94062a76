package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"troutusher/internal/membership"
	"troutusher/internal/texttable"
)

// membersCommand is "troutusher members", which shows what each source of endpoint lists (the
// registry and etcd) states about each endpoint.
type membersCommand struct {
	State string `arg:"" help:"A relay's state folder, or the file \"members\" in it."`
	JSON  bool   `name:"json" help:"As JSON, one endpoint a line."`
}

// membersFileName is the name of the membership file in a relay's state folder.
const membersFileName = "members"

// Run prints each endpoint with the phase (such as up or draining) that each source states for it,
// and the revision of the source's list in which it last changed that phase.
func (c *membersCommand) Run(stdout io.Writer) error {
	state, endpoints, err := c.read()
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(stdout)
		for i := range endpoints {
			if err := encoder.Encode(endpoints[i]); err != nil {
				return err
			}
		}
		return nil
	}
	for _, source := range state.Sources {
		printf(stdout, "%s: %d entries, revision %d of %s\n",
			source.Name, len(source.Entries), source.Revision, source.Epoch)
	}
	_, err = io.WriteString(stdout, membersTable(endpoints))
	return err
}

// read decodes the membership file. It returns the file's content and, for each endpoint, what each
// source states about it and which source decided its phase.
func (c *membersCommand) read() (*membership.State, []membership.Provenance, error) {
	path := fileInFolder(c.State, membersFileName)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	state := &membership.State{}
	if err := json.Unmarshal(text, state); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	var sources []membership.Source
	for _, source := range state.Sources {
		// StaleAfter has no effect here, but must be above 0: an imported source counts as stale.
		sources = append(sources, membership.Source{Name: source.Name, StaleAfter: 1})
	}
	if len(sources) == 0 {
		return nil, nil, fmt.Errorf("%s: the file lists no sources", path)
	}
	view, err := membership.New(membership.DefaultSettings(sources...))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	view.Import(1, state) // the time 1 stands for now: the file holds only times relative to its writing
	return state, view.Explain(1), nil
}

// membersTable returns a table with a row for each endpoint.
func membersTable(endpoints []membership.Provenance) string {
	table := texttable.New()
	table.Rowf("id\taddress\tdest\tphase\tby\tsaid")
	for _, endpoint := range endpoints {
		var records []string
		for _, record := range endpoint.Records {
			text := fmt.Sprintf("%s %s@%d", record.Source, record.Phase, record.Revision)
			if record.ID != endpoint.ID {
				text += " as " + record.ID
			}
			if record.Held {
				text += " (taken away, not believed yet)"
			}
			records = append(records, text)
		}
		table.Rowf("%s\t%s\t%d\t%s\t%s\t%s",
			endpoint.ID, endpoint.HostPort, endpoint.Dest, endpoint.Phase, endpoint.DecidedBy,
			strings.Join(records, ", "))
	}
	return table.String()
}

// runMembers runs "troutusher members".
func runMembers(args []string, stdout, stderr io.Writer) int {
	const about = "Who says what of which endpoint, from what a relay that follows etcd keeps. " +
		"Where sources differ, \"by\" is the one whose word decided the phase."
	return runKong("members", about, &membersCommand{}, args, stdout, stderr)
}
