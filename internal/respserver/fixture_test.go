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

// testdata/replies.txt holds what a client sends ("<") and everything that it receives until its
// connection is closed (">"). The test appends an invalid line to each input, so that the server ends
// the connection with an error reply if it has not done so before.
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
			reply, err := io.ReadAll(client)
			if err != nil {
				t.Errorf("read replies to %s: %v", row, err)
			}
			replies[i] = string(reply)
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

// expandInput decodes an input of the fixture: parts N*"text" joined by " + ".
func expandInput(t *testing.T, row string) string {
	t.Helper()
	var input strings.Builder
	for part := range strings.SplitSeq(row, " + ") {
		times, quoted, _ := strings.Cut(part, "*")
		n, err := strconv.Atoi(times)
		if err != nil {
			t.Fatalf("decode %s: %v", row, err)
		}
		text, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("decode %s: %v", row, err)
		}
		input.WriteString(strings.Repeat(text, n))
	}
	return input.String()
}

// A command that is not completed in time, or that there is no memory for, must get a reply before the
// connection is closed.
func TestRepliesToLateCommands(t *testing.T) {
	options := testOptions()
	options.Limits.FirstCommandTimeout = 200e3
	server, _ := startServer(t, options)
	late := dial(t, server.Addr())
	late.send("*1\r\n$4\r\nPI")
	if reply, err := io.ReadAll(late); string(reply) != "-ERR command not finished in time\r\n" || err != nil {
		t.Errorf("reply to an incomplete command = %q, %v, want the timeout error", reply, err)
	}

	options.MemoryLimit = 1
	server, _ = startServer(t, options)
	holder := dial(t, server.Addr())
	holder.ping()
	holder.send("*1\r\n$4\r\nPI") // uses all of the memory
	waitUntil(t, "the memory to be in use", func() bool { return server.memoryInUse() > 0 })
	dial(t, server.Addr()).ping() // has arrived whole, so it needs no memory
	waiting := dial(t, server.Addr())
	waiting.send("*1\r\n$4\r\nPI")
	if reply, err := io.ReadAll(waiting); string(reply) != "-BUSY 500\r\n" || err != nil {
		t.Errorf("reply without memory = %q, %v, want \"-BUSY 500\\r\\n\"", reply, err)
	}
}

func TestReplyTexts(t *testing.T) {
	for name, c := range map[string]struct{ got, want string }{
		"busy, no retry time": {BusyReply(0), "-BUSY\r\n"},
		"busy, negative time": {BusyReply(-1), "-BUSY\r\n"},
		"busy, 1 ms":          {BusyReply(1), "-BUSY 1\r\n"},
		"busy, 12 s":          {BusyReply(12000), "-BUSY 12000\r\n"},
		"error":               {ErrorReply(errors.New("k: missing")), "-ERR k: missing\r\n"},
		"error, unprintable":  {ErrorReply(errors.New("a\r\nb\x00\x7fé~")), "-ERR a??b???~\r\n"},
	} {
		if c.got != c.want {
			t.Errorf("%s: reply = %q, want %q", name, c.got, c.want)
		}
	}
}

// testdata/conns.json holds connections in the JSON form that is passed to another process. That process
// may run another release, so the form must not change.
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
		t.Errorf("decoded snapshots = %+v, %v, want %+v", decoded, err, conns)
	}
}
