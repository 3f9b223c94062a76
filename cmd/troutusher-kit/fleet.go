package main

import (
	"errors"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"troutusher/internal/logstats"
)

// fleetCommand is "troutusher fleet": what many relays do together.
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

func (c *fleetReport) Run(out io.Writer) error {
	switch dir := os.DirFS(c.Dir); {
	case c.Message != "":
		s, err := logstats.Follow(dir, c.Dir, c.Message)
		if err != nil {
			return err
		}
		return s.WriteText(out)
	case c.Ends:
		e, err := logstats.ReadEnds(dir, c.Dir)
		if err != nil {
			return err
		}
		return e.WriteText(out)
	}
	if c.Restarts {
		r, err := logstats.ReadRestarts(os.DirFS(c.Dir), c.Dir)
		if err != nil {
			return err
		}
		return errors.Join(r.WriteText(out), r.Broken())
	}
	day, err := logstats.Read(os.DirFS(c.Dir), c.Dir)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		f, err := os.Create(c.HTML)
		if err != nil {
			return err
		}
		if err := errors.Join(day.WriteHTML(f), f.Close()); err != nil {
			return err
		}
	}
	return day.WriteText(out, c.Dest)
}

func runFleet(args []string, out, errs io.Writer) int {
	return runKong("fleet", "What many relays do together, from their logs.", &fleetCommand{}, args, out, errs)
}

// runKong parses arguments with kong and runs the command that they name.
func runKong(name, about string, cli any, args []string, out, errs io.Writer) int {
	code, done := 0, false
	k, err := kong.New(cli, kong.Name("troutusher "+name), kong.Description(about), kong.Writers(out, errs),
		kong.Exit(func(c int) { code, done = c, true }), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return fail(errs, name, err, exitFailed)
	}
	ctx, err := k.Parse(args)
	if done {
		return code
	}
	if err != nil {
		return fail(errs, name, err, exitConfig)
	}
	if err := ctx.Run(); err != nil {
		return fail(errs, name, err, exitFailed)
	}
	return 0
}
