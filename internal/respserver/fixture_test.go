package respserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"

	"troutusher/internal/connlimit"
)

// testdata/replies.txt holds what a client sends ("<") and all that it hears
// until it is closed (">"). Behind each input goes a line that ends the
// connection with an error, unless that has happened by then.
func TestRepliesFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/replies.txt")
	if err != nil {
		t.Fatal(err)
	}
	server, _ := startServer(t, testOptions())
	var inputs []string
	for line := range strings.Lines(string(want)) {
		if row, ok := strings.CutPrefix(line, "< "); ok {
			inputs = append(inputs, strings.TrimSpace(row))
		}
	}
	replies := make([]string, len(inputs))
	var wg sync.WaitGroup
	for i, row := range inputs {
		input := expandInput(t, row) + "end\r\n"
		client := dial(t, server.Addr())
		wg.Add(1)
		go func() {
			defer wg.Done()
			client.send(input)
			heard, err := io.ReadAll(client)
			if err != nil {
				t.Errorf("%s: %v", row, err)
			}
			replies[i] = string(heard)
		}()
	}
	wg.Wait()
	var got strings.Builder
	for i, row := range inputs {
		fmt.Fprintf(&got, "< %s\n> %q\n", row, replies[i])
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

// expandInput reads a row of the fixture: N*"text" parts, joined by " + ".
func expandInput(t *testing.T, row string) string {
	t.Helper()
	var input strings.Builder
	for part := range strings.SplitSeq(row, " + ") {
		times, quoted, _ := strings.Cut(part, "*")
		n, err := strconv.Atoi(times)
		if err != nil {
			t.Fatalf("%s: %v", row, err)
		}
		text, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %v", row, err)
		}
		input.WriteString(strings.Repeat(text, n))
	}
	return input.String()
}

// What a client hears whose command ends too late, or finds no memory.
func TestRepliesToLateCommands(t *testing.T) {
	options := testOptions()
	options.Limits.FirstCommandTimeout = 200e3
	server, _ := startServer(t, options)
	late := dial(t, server.Addr())
	late.send("*1\r\n$4\r\nPI")
	if heard, err := io.ReadAll(late); string(heard) != "-ERR command not finished in time\r\n" || err != nil {
		t.Errorf("half a command: %q, %v", heard, err)
	}

	options.MemoryLimit = 1
	server, _ = startServer(t, options)
	holder := dial(t, server.Addr())
	holder.ping()
	holder.send("*1\r\n$4\r\nPI") // all of the memory
	waitUntil(t, "the memory is in use", func() bool { return server.memoryInUse() > 0 })
	waiting := dial(t, server.Addr())
	waiting.sendCommand("PING")
	if heard, err := io.ReadAll(waiting); string(heard) != "-BUSY 500\r\n" || err != nil {
		t.Errorf("no memory: %q, %v", heard, err)
	}
}

func TestReplyTexts(t *testing.T) {
	for name, c := range map[string]struct{ got, want string }{
		"busy, time unknown": {BusyReply(0), "-BUSY\r\n"},
		"busy, no time":      {BusyReply(-1), "-BUSY\r\n"},
		"busy, 1 ms":         {BusyReply(1), "-BUSY 1\r\n"},
		"busy, 12 s":         {BusyReply(12000), "-BUSY 12000\r\n"},
		"error":              {ErrorReply(errors.New("k: missing")), "-ERR k: missing\r\n"},
		"error, not plain":   {ErrorReply(errors.New("a\r\nb\x00\x7fé~")), "-ERR a??b???~\r\n"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, want %q", name, c.got, c.want)
		}
	}
}

// The form in which connections go to another process.
func TestConnSnapshotFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/conns.json")
	if err != nil {
		t.Fatal(err)
	}
	conns := []ConnSnapshot{
		{Slot: connlimit.Snapshot{TimeLeft: 2600000}},
		{
			Unprocessed: []byte("*1\r\n$4\r\nPI"),
			Slot:        connlimit.Snapshot{Validated: true, SentCommand: true, Requests: 7, TimeLeft: 4000000},
		},
		{Unwritten: []byte("+OK\r\n"), Slot: connlimit.Snapshot{SentCommand: true, TimeLeft: 10000}},
	}
	got, err := json.MarshalIndent(conns, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, bytes.TrimSpace(want)) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
	var decoded []ConnSnapshot
	if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, conns) {
		t.Errorf("%+v, %v", decoded, err)
	}
}
