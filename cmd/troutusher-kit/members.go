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

// membersCommand is "troutusher members": what each source says of each endpoint.
type membersCommand struct {
	State string `arg:"" help:"A relay's state folder, or the file \"members\" in it."`
	JSON  bool   `name:"json" help:"As JSON, one endpoint a line."`
}

// membersFile is the name of the file in a relay's state folder.
const membersFile = "members"

// Run shows the endpoints, each with what every source says of it and the revision at which
// it said so.
func (c *membersCommand) Run(out io.Writer) error {
	state, lines, err := c.read()
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		for i := range lines {
			if err := encoder.Encode(lines[i]); err != nil {
				return err
			}
		}
		return nil
	}
	for _, source := range state.Sources {
		printf(out, "%s: %d entries, revision %d of %s\n",
			source.Name, len(source.Entries), source.Revision, source.Epoch)
	}
	_, err = io.WriteString(out, membersTable(lines))
	return err
}

// read reads the file, and returns it and what it says of each endpoint.
func (c *membersCommand) read() (*membership.State, []membership.Provenance, error) {
	path := fileInFolder(c.State, membersFile)
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
		sources = append(sources, membership.Source{Name: source.Name, StaleAfter: 1})
	}
	if len(sources) == 0 {
		return nil, nil, fmt.Errorf("%s: no source has said anything", path)
	}
	view, err := membership.New(membership.DefaultSettings(sources...))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	view.Import(1, state)
	return state, view.Explain(1), nil
}

// membersTable returns a row for each endpoint.
func membersTable(lines []membership.Provenance) string {
	table := texttable.New()
	table.Rowf("id\taddress\tdest\tphase\tby\tsaid")
	for _, line := range lines {
		var records []string
		for _, record := range line.Records {
			text := fmt.Sprintf("%s %s@%d", record.Source, record.Phase, record.Revision)
			if record.ID != line.ID {
				text += " as " + record.ID
			}
			if record.Held {
				text += " (taken away, not believed yet)"
			}
			records = append(records, text)
		}
		table.Rowf("%s\t%s\t%d\t%s\t%s\t%s",
			line.ID, line.HostPort, line.Dest, line.Phase, line.DecidedBy, strings.Join(records, ", "))
	}
	return table.String()
}

// runMembers runs "troutusher members".
func runMembers(args []string, out, errs io.Writer) int {
	const about = "Who says what of which endpoint, from what a relay that follows etcd keeps. " +
		"Where sources differ, \"by\" is the one whose word decided the phase."
	return runKong("members", about, &membersCommand{}, args, out, errs)
}
