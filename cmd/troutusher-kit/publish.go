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

	"troutusher/internal/operatorconfig"
	"troutusher/internal/source/etcd/follow"
	"troutusher/internal/source/etcd/publish"
	"troutusher/internal/texttable"
)

// publishCommand is "troutusher publish": what operators say in etcd.
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

type publishDrain struct {
	IDs []string `arg:"" name:"id" help:"Endpoints."`
}

type publishUndrain struct {
	IDs []string `arg:"" name:"id" help:"Endpoints."`
}

type publishRemove struct {
	IDs []string `arg:"" name:"id" help:"Endpoints."`
}

type publishShow struct{}

const publishWait = 10 * time.Second

// published connects to the cluster of the operator's file.
func published(do func(context.Context, *publish.Publisher) error) error {
	file, err := operatorconfig.Load(os.Getenv)
	if err == nil && file == nil {
		err = fmt.Errorf("%s: not set", operatorconfig.EnvVar)
	}
	if err != nil {
		return err
	}
	o, err := follow.FromOperator(&file.Etcd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishWait)
	defer cancel()
	conn, ctx, err := follow.Dial(ctx, o)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // its calls have been answered
	return do(ctx, &publish.Publisher{KV: etcdserverpb.NewKVClient(conn), Prefix: file.Etcd.Prefix})
}

func told(out io.Writer, d *publish.Result, err error) error {
	if err != nil {
		return err
	}
	for _, k := range d.Put {
		printLine(out, "put    ", k)
	}
	for _, k := range d.Deleted {
		printLine(out, "deleted", k)
	}
	if d.Revision == 0 {
		printLine(out, "nothing to change")
		return nil
	}
	printLine(out, "revision", d.Revision)
	return nil
}

func (c *publishList) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	l := &publish.List{}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(l); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return published(func(ctx context.Context, p *publish.Publisher) error {
		d, err := p.Publish(ctx, l, c.All)
		return told(out, d, err)
	})
}

func (c *publishDrain) Run(out io.Writer) error {
	return published(func(ctx context.Context, p *publish.Publisher) error {
		d, err := p.Drain(ctx, false, c.IDs...)
		return told(out, d, err)
	})
}

func (c *publishUndrain) Run(out io.Writer) error {
	return published(func(ctx context.Context, p *publish.Publisher) error {
		d, err := p.Drain(ctx, true, c.IDs...)
		return told(out, d, err)
	})
}

func (c *publishRemove) Run(out io.Writer) error {
	return published(func(ctx context.Context, p *publish.Publisher) error {
		d, err := p.Remove(ctx, c.IDs...)
		return told(out, d, err)
	})
}

func (c *publishShow) Run(out io.Writer) error {
	return published(func(ctx context.Context, p *publish.Publisher) error {
		lines, err := p.Show(ctx)
		if err != nil {
			return err
		}
		table := texttable.New()
		for i := range lines {
			table.Rowf("%s", strings.TrimSpace(lines[i].Text()))
		}
		_, err = io.WriteString(out, table.String())
		return err
	})
}

func runPublish(args []string, out, errs io.Writer) int {
	const about = "Endpoints, rates and drains in etcd, " +
		"where the operator's file ($TROUTUSHER_OPERATOR, table [etcd]) says."
	return runKong("publish", about, &publishCommand{}, args, out, errs)
}
