package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
)

var be = binary.BigEndian

const settingsText = `{"balancers":2,"classes":[{"name":"a","target_us":1000000,"deadline_us":5000000,"worth":1,
"late_worth":0.2,"repeat":"retryable"}],"kinds":["k"],"limits":{"most_held":50,"most_tries":9,"may_cancel":true,
"probing":true},"safety":{"answer_slack_us":20000,"overload_factor":2,"fall_us":3000000,"ramp_time_us":9000000,
"start_capacity":0.2,"drain_grace_us":1000000},"specifics":{"calls_out":4,"kind_batch":[1],"own_limits":[false],
"late":"halving"},"tick_us":5000,"weights":"nominal","zone":0}`

// record returns a record of 48 bytes that holds only an event code and a relay.
func record(code byte, relay uint16) []byte {
	b := make([]byte, 48)
	b[0] = code
	be.PutUint16(b[1:], relay)
	return b
}

// startRecord returns the start of a relay, whose settings text is at an offset of the frame's tail.
func startRecord(relay uint16, seed uint64, text string, offset int) []byte {
	b := record(10, relay)
	be.PutUint64(b[3:], seed)
	be.PutUint32(b[11:], uint32(offset))
	be.PutUint32(b[15:], uint32(len(text)))
	return b
}

// tableRecord returns a numbered list of endpoints, whose entries are at an offset of the frame's tail.
func tableRecord(number byte, offset, entries int) []byte {
	b := make([]byte, 48)
	b[0], b[1] = 110, number
	be.PutUint32(b[2:], uint32(offset))
	be.PutUint32(b[6:], uint32(entries))
	return b
}

// syncRecord returns an update of a relay's endpoint list to a numbered list.
func syncRecord(relay uint16, number byte) []byte {
	b := record(20, relay)
	b[12] = number
	return b
}

// callRecord returns the submission of a message with 5 s left until its deadline.
func callRecord(relay uint16, message uint32) []byte {
	b := record(30, relay)
	be.PutUint32(b[3:], message)
	be.PutUint32(b[15:], 5000000)
	return b
}

// tableEntry returns an entry of a list: an endpoint that is ready and has a rate of 20 per second.
func tableEntry(address uint32) []byte {
	b := make([]byte, 24)
	be.PutUint32(b, address)
	b[11] = 1
	be.PutUint32(b[12:], 0x41a00000) // 20 as a float32
	return b
}

// frame encodes a batch frame with the given records and tail.
func frame(clock uint64, tail []byte, records ...[]byte) []byte {
	b := make([]byte, 16)
	be.PutUint64(b, clock)
	be.PutUint32(b[8:], uint32(48*len(records)+len(tail)))
	be.PutUint32(b[12:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	return append(b, tail...)
}

// run serves the frames of an input and returns the replies.
func run(t *testing.T, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(bytes.NewReader(in), bufio.NewWriter(&out))
	return out.Bytes(), err
}

// sends returns the relay, the message and the endpoint's address of each send in a stream of replies.
func sends(t *testing.T, out []byte) (got [][3]uint32) {
	t.Helper()
	for len(out) > 0 {
		size, count := int(be.Uint32(out)), int(be.Uint32(out[4:]))
		for i := range count {
			r := out[8+24*i:]
			if r[0] == 20 {
				got = append(got, [3]uint32{uint32(be.Uint16(r[1:])), be.Uint32(r[3:]), be.Uint32(r[7:])})
			}
		}
		out = out[8+size:]
	}
	return got
}

// TestListNumberReusedInOneFrame sends two different lists under the same number in one frame. An instance must get the
// list that the number stood for at the instance's own sync event, not the last one of the frame.
func TestListNumberReusedInOneFrame(t *testing.T) {
	tail := append(append([]byte(settingsText), tableEntry(1)...), tableEntry(2)...)
	n := len(settingsText)
	out, err := run(t, frame(
		1e6, tail,
		startRecord(0, 1, settingsText, 0), startRecord(1, 2, settingsText, 0),
		tableRecord(3, n, 1), syncRecord(0, 3),
		tableRecord(3, n+24, 1), syncRecord(1, 3),
		callRecord(0, 10), callRecord(1, 11),
	))
	if err != nil {
		t.Fatal(err)
	}
	if got := sends(t, out); len(got) != 2 || got[0] != [3]uint32{0, 10, 1} || got[1] != [3]uint32{1, 11, 2} {
		t.Fatalf("sends = %v, want relay 0's message 10 to address 1 and relay 1's message 11 to address 2", got)
	}
}

// TestRestartInOneFrame stops and starts a relay within one frame. The second instance must not inherit state of the
// first, such as its messages.
func TestRestartInOneFrame(t *testing.T) {
	tail := append([]byte(settingsText), tableEntry(1)...)
	n := len(settingsText)
	out, err := run(t, frame(
		1e6, tail,
		startRecord(0, 1, settingsText, 0), tableRecord(0, n, 1), syncRecord(0, 0), callRecord(0, 10), record(100, 0),
		startRecord(0, 2, settingsText, 0), syncRecord(0, 0), callRecord(0, 12),
	))
	if err != nil {
		t.Fatal(err)
	}
	if got := sends(t, out); len(got) != 1 || got[0][1] != 12 {
		t.Fatalf("sends = %v, want only message 12, which the second instance received", got)
	}
}

// TestStoppedStaysSilent stops a relay in the frame in which it received a message. The reply must hold no action of a
// stopped relay.
func TestStoppedStaysSilent(t *testing.T) {
	tail := append([]byte(settingsText), tableEntry(1)...)
	out, err := run(t, frame(
		1e6, tail,
		startRecord(0, 1, settingsText, 0), tableRecord(0, len(settingsText), 1), syncRecord(0, 0), callRecord(0, 10),
		record(100, 0),
	))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("serve() = %x, error %v, want an empty reply", out, err)
	}
}

// TestSameBytes checks that the same input gives the same replies, byte for byte, and that another
// relay in the process does not change how many messages a relay sends. A random generator that relays
// share, or an iteration over a map, would break this.
func TestSameBytes(t *testing.T) {
	stream := func(relays int) []byte {
		rng := rand.New(rand.NewPCG(1, 2))
		tail := append(append([]byte(settingsText), tableEntry(1)...), tableEntry(2)...)
		var records [][]byte
		for i := range relays {
			records = append(
				records,
				startRecord(uint16(i), uint64(i), settingsText, 0),
				tableRecord(0, len(settingsText), 2),
				syncRecord(uint16(i), 0),
			)
		}
		in := frame(1e6, tail, records...)
		for step := range 50 {
			records = nil
			for range rng.IntN(4) {
				message := uint32(step*10 + len(records))
				records = append(records, callRecord(0, message))
				if relays > 1 {
					records = append(records, callRecord(1, message))
				}
			}
			in = append(in, frame(uint64(1e6+5000*step), nil, records...)...)
		}
		return in
	}
	first, err := run(t, stream(2))
	second, err2 := run(t, stream(2))
	if err != nil || err2 != nil || len(first) < 51*8+4*24 || !bytes.Equal(first, second) {
		t.Fatalf("two runs: %d and %d bytes, errors %v, %v, want equal replies of at least %d bytes",
			len(first), len(second), err, err2, 51*8+4*24)
	}
	withoutOther, err := run(t, stream(1))
	if err != nil {
		t.Fatal(err)
	}
	var sendsWithOther [][3]uint32
	for _, send := range sends(t, first) {
		if send[0] == 0 {
			sendsWithOther = append(sendsWithOther, send)
		}
	}
	if got := sends(t, withoutOther); len(got) == 0 || len(got) != len(sendsWithOther) {
		t.Fatalf("relay 0 sends %d messages as the only relay, %d beside another, want the same number above 0",
			len(got), len(sendsWithOther))
	}
}

// TestInvalidSettingsAreReported checks that a start with invalid settings gives a bug action with an error text.
func TestInvalidSettingsAreReported(t *testing.T) {
	for from, to := range map[string]string{
		`"calls_out":4`: `"calls_out":0`, `"retryable"`: `"sometimes"`,
		`"fall_us":3000000`: `"fall_us":-1`,
	} {
		text := strings.Replace(settingsText, from, to, 1)
		out, err := run(t, frame(1e6, []byte(text), startRecord(4, 1, text, 0)))
		if err != nil || be.Uint32(out[4:]) != 1 || out[8] != 100 || be.Uint16(out[9:]) != 4 || len(out) <= 32 {
			t.Errorf("settings with %s: serve() = %s, error %v, want one bug action of relay 4 with a text",
				to, hex.EncodeToString(out), err)
		}
	}
}

func TestMalformedFrameEndsWithOneLine(t *testing.T) {
	out, err := run(t, append(frame(1e6, nil), frame(2e6, nil, record(7, 0))...))
	if err == nil || !strings.Contains(err.Error(), "frame 1: record 0") || strings.Contains(err.Error(), "\n") {
		t.Fatalf("serve() = error %q, want one line with %q", err, "frame 1: record 0")
	}
	if !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("serve() = %x, want only the empty reply to the first frame", out)
	}
	if out, err := run(t, nil); err != nil || len(out) != 0 {
		t.Fatalf("serve(empty input) = %x, error %v, want no output and no error", out, err)
	}
}

// TestUnknownRelay sends an event for a relay that is not running. The simulator may send one after the relay has
// stopped, so it must be dropped without an error.
func TestUnknownRelay(t *testing.T) {
	out, err := run(t, frame(1e6, nil, callRecord(9, 1)))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("serve() = %x, error %v, want an empty reply", out, err)
	}
}
