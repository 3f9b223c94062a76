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

func record(code byte, relay uint16) []byte {
	b := make([]byte, 48)
	b[0] = code
	be.PutUint16(b[1:], relay)
	return b
}

func startRecord(relay uint16, seed uint64, text string, off int) []byte {
	b := record(10, relay)
	be.PutUint64(b[3:], seed)
	be.PutUint32(b[11:], uint32(off))
	be.PutUint32(b[15:], uint32(len(text)))
	return b
}

func tableRecord(n byte, off, entries int) []byte {
	b := make([]byte, 48)
	b[0], b[1] = 110, n
	be.PutUint32(b[2:], uint32(off))
	be.PutUint32(b[6:], uint32(entries))
	return b
}

func syncRecord(relay uint16, n byte) []byte {
	b := record(20, relay)
	b[12] = n
	return b
}

func callRecord(relay uint16, id uint32) []byte {
	b := record(30, relay)
	be.PutUint32(b[3:], id)
	be.PutUint32(b[15:], 5000000)
	return b
}

func tableEntry(addr uint32) []byte {
	b := make([]byte, 24)
	be.PutUint32(b, addr)
	b[11] = 1
	be.PutUint32(b[12:], 0x41a00000) // 20 a second
	return b
}

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

func run(t *testing.T, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(bytes.NewReader(in), bufio.NewWriter(&out))
	return out.Bytes(), err
}

// sends lists relay, message and address of each send in a stream of replies.
func sends(t *testing.T, out []byte) (got [][3]uint32) {
	t.Helper()
	for len(out) > 0 {
		size, n := int(be.Uint32(out)), int(be.Uint32(out[4:]))
		for i := range n {
			r := out[8+24*i:]
			if r[0] == 20 {
				got = append(got, [3]uint32{uint32(be.Uint16(r[1:])), be.Uint32(r[3:]), be.Uint32(r[7:])})
			}
		}
		out = out[8+size:]
	}
	return got
}

// TestListNumberReusedInOneFrame: each instance takes the list as it stood at its own event.
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
		t.Fatalf("sends %v", got)
	}
}

// TestRestartInOneFrame: the second instance knows nothing of the first, not even its messages.
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
		t.Fatalf("sends %v", got)
	}
}

// TestStoppedStaysSilent: no action for a relay that ended in the frame.
func TestStoppedStaysSilent(t *testing.T) {
	tail := append([]byte(settingsText), tableEntry(1)...)
	out, err := run(t, frame(
		1e6, tail,
		startRecord(0, 1, settingsText, 0), tableRecord(0, len(settingsText), 1), syncRecord(0, 0), callRecord(0, 10),
		record(100, 0),
	))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("reply %x, error %v", out, err)
	}
}

// TestSameBytes: the same stream gives the same reply, byte for byte, and others in the process change nothing.
func TestSameBytes(t *testing.T) {
	stream := func(relays int) []byte {
		r := rand.New(rand.NewPCG(1, 2))
		tail := append(append([]byte(settingsText), tableEntry(1)...), tableEntry(2)...)
		var recs [][]byte
		for i := range relays {
			recs = append(
				recs,
				startRecord(uint16(i), uint64(i), settingsText, 0),
				tableRecord(0, len(settingsText), 2),
				syncRecord(uint16(i), 0),
			)
		}
		in := frame(1e6, tail, recs...)
		for step := range 50 {
			recs = nil
			for range r.IntN(4) {
				id := uint32(step*10 + len(recs))
				recs = append(recs, callRecord(0, id))
				if relays > 1 {
					recs = append(recs, callRecord(1, id))
				}
			}
			in = append(in, frame(uint64(1e6+5000*step), nil, recs...)...)
		}
		return in
	}
	a, err := run(t, stream(2))
	b, err2 := run(t, stream(2))
	if err != nil || err2 != nil || len(a) < 51*8+4*24 || !bytes.Equal(a, b) {
		t.Fatalf("%d and %d bytes, errors %v, %v", len(a), len(b), err, err2)
	}
	alone, err := run(t, stream(1))
	if err != nil {
		t.Fatal(err)
	}
	var both [][3]uint32
	for _, s := range sends(t, a) {
		if s[0] == 0 {
			both = append(both, s)
		}
	}
	if one := sends(t, alone); len(one) == 0 || len(one) != len(both) {
		t.Fatalf("%d sends alone, %d with company", len(one), len(both))
	}
}

// TestInvalidSettingsAreReported: the wire's own way of saying it, with the key.
func TestInvalidSettingsAreReported(t *testing.T) {
	for from, to := range map[string]string{
		`"calls_out":4`: `"calls_out":0`, `"retryable"`: `"sometimes"`,
		`"fall_us":3000000`: `"fall_us":-1`,
	} {
		text := strings.Replace(settingsText, from, to, 1)
		out, err := run(t, frame(1e6, []byte(text), startRecord(4, 1, text, 0)))
		if err != nil || be.Uint32(out[4:]) != 1 || out[8] != 100 || be.Uint16(out[9:]) != 4 || len(out) <= 32 {
			t.Errorf("%s: reply %s, error %v", to, hex.EncodeToString(out), err)
		}
	}
}

func TestMalformedFrameEndsWithOneLine(t *testing.T) {
	out, err := run(t, append(frame(1e6, nil), frame(2e6, nil, record(7, 0))...))
	if err == nil || !strings.Contains(err.Error(), "frame 1: record 0") || strings.Contains(err.Error(), "\n") {
		t.Fatalf("error %v", err)
	}
	if !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("output %x, want the first reply alone", out)
	}
	if out, err := run(t, nil); err != nil || len(out) != 0 {
		t.Fatalf("clean end: %x, %v", out, err)
	}
}

// TestUnknownRelay: an event for a life that is over is no fault and wakes nobody.
func TestUnknownRelay(t *testing.T) {
	out, err := run(t, frame(1e6, nil, callRecord(9, 1)))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("reply %x, error %v", out, err)
	}
}
