package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"troutusher/internal/source/etcd/follow"
	"troutusher/internal/source/etcd/publish"
	"troutusher/internal/texttable"
)

// publishCommand is "troutusher publish", with which operators change the endpoints, rates and
// drains that relays read from etcd. A drain is a key that marks an endpoint as draining: relays begin
// no new calls to it.
type publishCommand struct {
	List    publishList    `cmd:"" help:"Make endpoints and rates what a file says. Drains stay as they are."`
	Drain   publishDrain   `cmd:"" help:"Have endpoints drain, whatever else is said of them."`
	Undrain publishUndrain `cmd:"" help:"End that."`
	Remove  publishRemove  `cmd:"" help:"Take endpoints away, with their drains."`
	Show    publishShow    `cmd:"" help:"List what is published: id, address, destination, phase, revision."`
}

// publishList is "troutusher publish list".
//
//nolint:lll // a struct tag cannot be broken
type publishList struct {
	File string `arg:"" help:"JSON: {\"endpoints\":{\"ID\":{\"host_port\":\"...\",\"dest\":3}},\"partners\":{\"3\":{\"rate\":40}}}."`
	All  bool   `help:"Also where it takes away over half of the endpoints."`
}

// publishDrain is "troutusher publish drain".
type publishDrain struct {
	IDs []string `arg:"" name:"id" help:"Endpoints."`
}

// publishUndrain is "troutusher publish undrain".
type publishUndrain struct {
	IDs []string `arg:"" name:"id" help:"Endpoints."`
}

// publishRemove is "troutusher publish remove".
type publishRemove struct {
	IDs []string `arg:"" name:"id" help:"Endpoints."`
}

// publishShow is "troutusher publish show".
type publishShow struct{}

// publishTimeout limits the time of a subcommand, including all of its calls to etcd.
const publishTimeout = 10 * time.Second

// withPublisher calls use with a publisher that is connected to the etcd cluster of the
// operator's file.
func withPublisher(use func(context.Context, *publish.Publisher) error) error {
	etcd, options, err := etcdOptions()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	conn, ctx, err := follow.Dial(ctx, options)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // all calls have returned
	return use(ctx, &publish.Publisher{KV: etcdserverpb.NewKVClient(conn), Prefix: etcd.Prefix})
}

// publishChange makes a change and prints the keys that it put and deleted.
func publishChange(
	stdout io.Writer, change func(context.Context, *publish.Publisher) (*publish.Result, error),
) error {
	return withPublisher(func(ctx context.Context, publisher *publish.Publisher) error {
		result, err := change(ctx, publisher)
		if err != nil {
			return err
		}
		writeChanges(stdout, result)
		return nil
	})
}

func writeChanges(stdout io.Writer, result *publish.Result) {
	for _, key := range result.Put {
		printLine(stdout, "put    ", key)
	}
	for _, key := range result.Deleted {
		printLine(stdout, "deleted", key)
	}
	if result.Revision == 0 {
		printLine(stdout, "nothing to change")
		return
	}
	printLine(stdout, "revision", result.Revision)
}

// Run publishes the endpoints and rates of the file.
func (c *publishList) Run(stdout io.Writer) error {
	list, err := c.read()
	if err != nil {
		return err
	}
	return publishChange(stdout, func(ctx context.Context, publisher *publish.Publisher) (*publish.Result, error) {
		return publisher.Publish(ctx, list, c.All)
	})
}

// read decodes the file. An unknown key is an error.
func (c *publishList) read() (*publish.List, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	list := &publish.List{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(list); err != nil {
		return nil, fmt.Errorf("%s: %w", c.File, err)
	}
	return list, nil
}

// Run marks the endpoints as draining.
func (c *publishDrain) Run(stdout io.Writer) error {
	return publishChange(stdout, func(ctx context.Context, publisher *publish.Publisher) (*publish.Result, error) {
		return publisher.Drain(ctx, false, c.IDs...)
	})
}

// Run ends the drain of the endpoints.
func (c *publishUndrain) Run(stdout io.Writer) error {
	return publishChange(stdout, func(ctx context.Context, publisher *publish.Publisher) (*publish.Result, error) {
		return publisher.Drain(ctx, true, c.IDs...)
	})
}

// Run removes the endpoints and their drains.
func (c *publishRemove) Run(stdout io.Writer) error {
	return publishChange(stdout, func(ctx context.Context, publisher *publish.Publisher) (*publish.Result, error) {
		return publisher.Remove(ctx, c.IDs...)
	})
}

// Run prints a table of the published endpoints.
func (c *publishShow) Run(stdout io.Writer) error {
	return withPublisher(func(ctx context.Context, publisher *publish.Publisher) error {
		lines, err := publisher.Show(ctx)
		if err != nil {
			return err
		}
		table := texttable.New()
		for i := range lines {
			table.Rowf("%s", strings.TrimSpace(lines[i].Text()))
		}
		_, err = io.WriteString(stdout, table.String())
		return err
	})
}

// runPublish runs "troutusher publish".
func runPublish(args []string, stdout, stderr io.Writer) int {
	const about = "Endpoints, rates and drains in etcd, " +
		"where the operator's file ($TROUTUSHER_OPERATOR, table [etcd]) says."
	return runKong("publish", about, &publishCommand{}, args, stdout, stderr)
}
