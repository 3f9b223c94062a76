package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"troutusher/internal/membership"
	"troutusher/internal/texttable"
)

// membersCommand is "troutusher members": who says what of which endpoint.
type membersCommand struct {
	State string `arg:"" help:"A relay's state folder, or the file \"members\" in it."`
	JSON  bool   `name:"json" help:"As JSON, one endpoint a line."`
}

// Run shows what the relay keeps: each endpoint, and the word of each source, with the
// revision that it was said at.
func (c *membersCommand) Run(out io.Writer) error {
	path := c.State
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		path = filepath.Join(path, "members")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	st := &membership.State{}
	if err := json.Unmarshal(text, st); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var sources []membership.Source
	for _, s := range st.Sources {
		sources = append(sources, membership.Source{Name: s.Name, StaleAfter: 1})
	}
	if len(sources) == 0 {
		return fmt.Errorf("%s: no source has said anything", path)
	}
	v, err := membership.New(membership.DefaultSettings(sources...))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	v.Import(1, st)
	lines := v.Explain(1)
	if c.JSON {
		enc := json.NewEncoder(out)
		for i := range lines {
			if err := enc.Encode(lines[i]); err != nil {
				return err
			}
		}
		return nil
	}
	for _, s := range st.Sources {
		printf(out, "%s: %d entries, revision %d of %s\n", s.Name, len(s.Entries), s.Revision, s.Epoch)
	}
	table := texttable.New()
	table.Rowf("id\taddress\tdest\tphase\tby\tsaid")
	for _, l := range lines {
		var said []string
		for _, s := range l.Records {
			text := fmt.Sprintf("%s %s@%d", s.Source, s.Phase, s.Revision)
			if s.ID != l.ID {
				text += " as " + s.ID
			}
			if s.Held {
				text += " (taken away, not believed yet)"
			}
			said = append(said, text)
		}
		table.Rowf("%s\t%s\t%d\t%s\t%s\t%s", l.ID, l.HostPort, l.Dest, l.Phase, l.DecidedBy,
			strings.Join(said, ", "))
	}
	_, err = io.WriteString(out, table.String())
	return err
}

func runMembers(args []string, out, errs io.Writer) int {
	const about = "Who says what of which endpoint, from what a relay that follows etcd keeps. " +
		"Where sources differ, \"by\" is the one whose word decided the phase."
	return runKong("members", about, &membersCommand{}, args, out, errs)
}
