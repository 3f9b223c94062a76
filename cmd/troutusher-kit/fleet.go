package main

import (
	"errors"
	"io"
	"os"

	"troutusher/internal/logstats"
)

// fleetCommand is "troutusher fleet", which reports on the logs of many relays.
//
//nolint:lll // a struct tag cannot be broken
type fleetCommand struct {
	Report fleetReport `cmd:"" help:"Add up the logs of all relays of one day: by second and destination, with what one relay saw beside."`
}

// fleetReport is "troutusher fleet report".
//
//nolint:lll // a struct tag cannot be broken
type fleetReport struct {
	Dir      string `arg:"" help:"Folder with a file NAME.log for each relay: what it wrote to standard error."`
	Dest     *int   `help:"Show the seconds of this destination, not of all."`
	Message  string `xor:"what" placeholder:"ID" help:"Print what all logs tell of this one message, in order of time, instead."`
	Ends     bool   `xor:"what" help:"Print what became of the messages that were taken on, by cause, instead."`
	Restarts bool   `xor:"what" help:"Print what became of the messages that restarts found taken on, instead; exit code 1 where over half of the untried ones were ended with no call."`
	HTML     string `name:"html" placeholder:"FILE" help:"Write a page with plots as well. It needs nothing else to be looked at."`
}

// Run prints the report that the flags select.
func (c *fleetReport) Run(stdout io.Writer) error {
	switch {
	case c.Message != "":
		return c.printMessage(stdout)
	case c.Ends:
		return c.printOutcomes(stdout)
	case c.Restarts:
		return c.printRestarts(stdout)
	}
	return c.printTotals(stdout)
}

func (c *fleetReport) printMessage(stdout io.Writer) error {
	trace, err := logstats.ReadMessageTrace(os.DirFS(c.Dir), c.Dir, c.Message)
	if err != nil {
		return err
	}
	return trace.WriteText(stdout)
}

func (c *fleetReport) printOutcomes(stdout io.Writer) error {
	outcomes, err := logstats.ReadOutcomes(os.DirFS(c.Dir), c.Dir)
	if err != nil {
		return err
	}
	return outcomes.WriteText(stdout)
}

func (c *fleetReport) printRestarts(stdout io.Writer) error {
	restarts, err := logstats.ReadRestarts(os.DirFS(c.Dir), c.Dir)
	if err != nil {
		return err
	}
	return errors.Join(restarts.WriteText(stdout), restarts.Check())
}

// printTotals prints the sums by second and destination, and writes the HTML page if --html
// asks for it.
func (c *fleetReport) printTotals(stdout io.Writer) error {
	report, err := logstats.ReadReport(os.DirFS(c.Dir), c.Dir)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, report.WriteHTML); err != nil {
			return err
		}
	}
	return report.WriteText(stdout, c.Dest)
}

// runFleet runs "troutusher fleet".
func runFleet(args []string, stdout, stderr io.Writer) int {
	return runKong("fleet", "What many relays do together, from their logs.", &fleetCommand{}, args, stdout, stderr)
}
