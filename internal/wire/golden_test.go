package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// readFixture reads a file whose lines each hold a name and bytes in hexadecimal, and returns the bytes by name.
func readFixture(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	frames := map[string][]byte{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, digits, ok := strings.Cut(lines.Text(), ": ")
		if !ok {
			t.Fatalf("%s: line %q is not of the form \"name: bytes\"", path, lines.Text())
		}
		frames[name] = unhex(t, digits)
	}
	return frames
}

// TestRecordedEvents decodes a recorded frame of each kind of event: a change to the decoder must not alter how the
// simulator's frames are read.
func TestRecordedEvents(t *testing.T) {
	frames := readFixture(t, "testdata/events.txt")
	tests := []struct {
		name string
		want Event
	}{
		{"up", Event{Code: 0xa, Relay: 0x102, Token: 0x1112131415161718, Text: []byte{0x7b, 0x7d, 0x20}}},
		{"sync cached", Event{Code: 0x14, Relay: 0x102, Sheet: 0x5, Token: 0x2122232425262728}},
		{"sync failed", Event{Code: 0x14, Relay: 0x102, Kind: 0x1, Sheet: 0xff, Token: 0x2122232425262728}},
		{"sync full", Event{Code: 0x14, Relay: 0x102, Kind: 0x3, Sheet: 0xf, Token: 0x2122232425262728}},
		{"sync delta", Event{Code: 0x14, Relay: 0x102, Kind: 0x4, Sheet: 0x1, Token: 0x2122232425262728}},
		{
			"call",
			Event{
				Code:     0x1e,
				Relay:    0x102,
				Class:    0x203,
				Flags:    0x1,
				Dest:     0x80,
				Ticket:   0x31323334,
				Tenant:   0x61626364,
				Grace:    0x51525354,
				Estimate: 0x71727374,
				Subject:  0x4142434445464748,
			},
		},
		{
			"begun",
			Event{
				Code:     0x28,
				Relay:    0x102,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
			},
		},
		{
			"resolved ok",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Attempt:  0x5,
				Settled:  true,
				Ticket:   0x31323334,
				Note:     0x51525354,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
				Reports:  4,
				Report:   [4]float32{0.5, 1.25, 2, -3},
			},
		},
		{
			"resolved moot",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xf9,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Note:     0x1,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
			},
		},
		{
			"resolved cancelled",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xfa,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
			},
		},
		{
			"resolved reset",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xfb,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
			},
		},
		{
			"resolved no connection",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xfc,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
			},
		},
		{
			"resolved late",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xfd,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
			},
		},
		{
			"resolved full",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xfe,
				Attempt:  0x5,
				Ticket:   0x31323334,
				Note:     0x19,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
				Reports:  2,
				Report:   [4]float32{0.4, 1.25, 0, 0},
			},
		},
		{
			"resolved error",
			Event{
				Code:     0x32,
				Relay:    0x102,
				Status:   0xff,
				Attempt:  0x5,
				Settled:  true,
				Ticket:   0x31323334,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
				Reports:  1,
				Report:   [4]float32{0.4, 0, 0, 0},
			},
		},
		{"lapsed", Event{Code: 0x3c, Relay: 0x102, Ticket: 0x31323334}},
		{"alarm", Event{Code: 0x46, Relay: 0x102, Token: 0x8182838485868788}},
		{
			"health",
			Event{
				Code:     0x50,
				Relay:    0x102,
				Status:   0xfe,
				Took:     0x61626364,
				Endpoint: 0xa124a071f43,
				Reports:  2,
				Report:   [4]float32{0.4, 1.25, 0, 0},
			},
		},
		{"datagram", Event{Code: 0x5a, Relay: 0x102, Text: []byte{0x62, 0x63}}},
		{"power off", Event{Code: 0x64, Relay: 0x102}},
		{
			"table",
			Event{
				Code:  0x6e,
				Sheet: 0xf,
				Entries: []Entry{
					{
						Endpoint: 0xa124a071f43,
						Zone:     0x3,
						Kind:     0x2,
						Dest:     0x39,
						State:    0x1,
						Nominal:  1.5,
						CameUp:   0x5d1420,
					},
					{
						Endpoint: 0xa9011f21f6c,
						Zone:     0x1,
						Kind:     0x0,
						Dest:     0xffff,
						State:    0x2,
						Nominal:  0,
						CameUp:   0x9192939495969798,
					},
				},
			},
		},
	}
	if len(frames) != len(tests) {
		t.Errorf("testdata holds %d recorded frames, want %d, one for each test case", len(frames), len(tests))
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock, events, err := ReadBatch(bytes.NewReader(frames[tt.name]))
			if err != nil {
				t.Fatal(err)
			}
			if clock != 0x0102030405060708 || len(events) != 1 || !reflect.DeepEqual(events[0], tt.want) {
				t.Errorf("ReadBatch() = clock %#x, events\n%+v, want clock 0x102030405060708, one event\n%+v",
					clock, events, tt.want)
			}
		})
	}
}

// TestRecordedActions encodes each kind of action and compares the frame with the recorded one, which the simulator
// can read.
func TestRecordedActions(t *testing.T) {
	frames := readFixture(t, "testdata/actions.txt")
	tests := []struct {
		name   string
		action Action
	}{
		{
			"deliver",
			Action{
				Code:     ActDeliver,
				Relay:    0x102,
				Ticket:   0x31323334,
				Endpoint: 0x0a124a071f43,
				At:       0x4142434445464748,
			},
		},
		{"refuse", Action{Code: ActRefuse, Relay: 0x102, Ticket: 0x31323334, After: 0x51525354}},
		{"log", Action{Code: ActLog, Relay: 0x102, Text: "dest 3: answers again, ramp"}},
		{"listen", Action{Code: ActListen, Relay: 0x102, On: true}},
		{"stop listening", Action{Code: ActListen, Relay: 0x102}},
		{"remind", Action{Code: ActRemind, Relay: 0x102, After: 0x51525354, Token: 0x8182838485868788}},
		{"lose", Action{Code: ActLose, Relay: 0x102, Ticket: 0x31323334}},
		{"probe", Action{Code: ActProbe, Relay: 0x102, Endpoint: 0x0a124a071f43}},
		{"read", Action{Code: ActRead, Relay: 0x102}},
		{"bug", Action{Code: ActBug, Relay: 0x102, Text: "settings: Slots: 0, want at least 1"}},
		{"close", Action{Code: ActClose, Relay: 0x102, Endpoint: 0x0a124a071f43}},
		{"cancel", Action{Code: ActCancel, Relay: 0x102, Ticket: 0x31323334, Attempt: 5}},
	}
	if len(frames) != len(tests) {
		t.Errorf("testdata holds %d recorded frames, want %d, one for each test case", len(frames), len(tests))
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := AppendReply(nil, []Action{tt.action})
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, frames[tt.name]) {
				t.Errorf("AppendReply(%+v) = %x, want %x", tt.action, got, frames[tt.name])
			}
		})
	}
}

// TestSettingsKeys decodes a settings text that has every key and encodes it again. A key that is renamed or no longer
// read would be missing from the result.
func TestSettingsKeys(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(parsed, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(got, '\n'), text) {
		t.Errorf("ParseSettings() encoded again =\n%s\nwant\n%s", got, text)
	}
}
