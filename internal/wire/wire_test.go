package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// padRecord writes a record of 48 bytes that begins as given.
func padRecord(t testing.TB, s string) []byte {
	b := unhex(t, s)
	return append(b, make([]byte, eventSize-len(b))...)
}

// frame builds a batch of records and a tail.
func frame(clock uint64, tail []byte, records ...[]byte) []byte {
	b := make([]byte, batchHeader)
	be.PutUint64(b, clock)
	be.PutUint32(b[8:], uint32(len(records)*eventSize+len(tail)))
	be.PutUint32(b[12:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	return append(b, tail...)
}

// TestKnownBatch decodes the frame that the wire page lays out.
func TestKnownBatch(t *testing.T) {
	clock, ev, err := ReadBatch(bytes.NewReader(frame(0x805c5a, nil,
		padRecord(t, "1e 0003 5d3a91c4 91f03b7c55d20a64 0003a980 0001 0000 42640000 00000000 00002ee0"),
		padRecord(t, "46 0003 000000000000004d"), padRecord(t, "3c 0005 0e6f2b19"))))
	if err != nil || clock != 0x805c5a || len(ev) != 3 {
		t.Fatalf("clock %x, %d events, error %v", clock, len(ev), err)
	}
	c := ev[0]
	if c.Code != EvCall || c.Relay != 3 || c.Ticket != 0x5d3a91c4 || c.Subject != 0x91f03b7c55d20a64 ||
		c.Grace != 0x3a980 || c.Flags != 1 || c.Class != 0 || c.Dest != 57 || c.Estimate != 12000 {
		t.Errorf("call %+v", c)
	}
	if ev[1].Token != 0x4d || ev[2].Relay != 5 || ev[2].Ticket != 0x0e6f2b19 {
		t.Errorf("alarm %+v, lapsed %+v", ev[1], ev[2])
	}
}

func TestKnownList(t *testing.T) {
	tail := unhex(t, `0a124a07 1f43 0000 00 0039 01 3f800000 0000000000000000
		0a9011f2 1f6c 0001 02 0039 02 3fc00000 00000000005d1420`)
	_, ev, err := ReadBatch(bytes.NewReader(frame(1, tail, padRecord(t, "6e 0f 00000000 00000002"),
		padRecord(t, "14 0003 00 0000000000000029 0f"))))
	if err != nil {
		t.Fatal(err)
	}
	want := Entry{Endpoint: 0x0a9011f21f6c, Zone: 1, Kind: 2, Dest: 57, State: 2, Nominal: 1.5, CameUp: 0x5d1420}
	if len(ev[0].Entries) != 2 || ev[0].Entries[1] != want || ev[1].Sheet != 15 || ev[1].Token != 0x29 {
		t.Errorf("entries %+v, sync %+v", ev[0].Entries, ev[1])
	}
}

func TestKnownOutcome(t *testing.T) {
	_, ev, err := ReadBatch(bytes.NewReader(frame(
		1,
		nil,
		padRecord(
			t,
			"32 0003 5d3a91c4 0a124a07 1f43 07 00000019 00004844 fe 01 02 3ecccccd 3fa00000 00000000 00000000",
		),
	)))
	if err != nil {
		t.Fatal(err)
	}
	e := ev[0]
	if e.Attempt != 7 || e.Note != 25 || e.Took != 0x4844 || e.Status != StatusFull || !e.Settled || e.Reports != 2 ||
		e.Report[1] != 1.25 || e.Endpoint != 0x0a124a071f43 {
		t.Errorf("outcome %+v", e)
	}
}

// TestKnownReply encodes the reply that the wire page lays out.
func TestKnownReply(t *testing.T) {
	got, err := AppendReply(nil, []Action{
		{Code: ActDeliver, Relay: 3, Ticket: 0x5d3a91c4, Endpoint: 0x0a124a071f43, At: 0x8194da},
		{Code: ActRemind, Relay: 3, After: 500000, Token: 0x4d},
		{Code: ActLog, Relay: 5, Text: "two servers known"},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `00000059 00000003
		14 0003 5d3a91c4 0a124a07 1f43 00000000008194da 000000
		3c 0003 0007a120 000000000000004d 000000000000000000
		28 0005 00000000 00000011 00000000000000000000000000
		74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	if _, err := AppendReply(nil, []Action{{Code: 1}}); err == nil {
		t.Error("an unknown action code passed")
	}
}

func TestEveryAction(t *testing.T) {
	for _, c := range []struct {
		a    Action
		want string
	}{
		{Action{Code: ActRefuse, Relay: 3, Ticket: 0x0e6f2b19, After: 250000}, "1e 0003 0e6f2b19 0003d090"},
		{Action{Code: ActLose, Relay: 3, Ticket: 0x0e6f2b19}, "46 0003 0e6f2b19"},
		{Action{Code: ActCancel, Relay: 3, Ticket: 0x5d3a91c4, Attempt: 2}, "78 0003 5d3a91c4 02"},
		{Action{Code: ActProbe, Relay: 3, Endpoint: 0x0a9011f21f6c}, "50 0003 0a9011f2 1f6c"},
		{Action{Code: ActClose, Relay: 3, Endpoint: 0x0a9011f21f6c}, "6e 0003 0a9011f2 1f6c"},
		{Action{Code: ActListen, Relay: 3, On: true}, "32 0003 01"},
		{Action{Code: ActRead, Relay: 3}, "5a 0003"},
	} {
		got, err := AppendReply(nil, []Action{c.a})
		want := unhex(t, c.want)
		want = append(want, make([]byte, actionSize-len(want))...)
		if err != nil || !bytes.Equal(got[replyHeader:], want) {
			t.Errorf("code %d: %x, want %x, error %v", c.a.Code, got, want, err)
		}
	}
}

func TestMalformed(t *testing.T) {
	call := padRecord(t, "1e 0003 5d3a91c4")
	nan := append([]byte(nil), call...)
	be.PutUint32(nan[23:], math.Float32bits(float32(math.NaN())))
	long := frame(1, nil, call)
	be.PutUint32(long[12:], 2)
	huge := frame(1, nil)
	be.PutUint32(huge[8:], math.MaxUint32)
	unready := make([]byte, entrySize)
	unready[11] = 9
	const attempt = "32 0003 00000001 00000000 0000 00 00000000 00000000"
	one := func(record string) []byte { return frame(1, nil, padRecord(t, record)) }
	tests := []struct {
		name string
		in   []byte
		want string
	}{
		{"short header", make([]byte, 7), "header"},
		{"short body", frame(1, nil, call)[:40], "body"},
		{"too many records", long, "records"},
		{"huge", huge, "length"},
		{"unknown code", one("07"), "code 7"},
		{"list number", one("6e 10"), "list number 16"},
		{"sync list number", one("14 0003 04 0000000000000001 10"), "list number 16"},
		{"sync kind", one("14 0003 02"), "kind 2"},
		{"entries outside", frame(1, make([]byte, 30), padRecord(t, "6e 00 00000000 00000002")), "outside the tail"},
		{"offset outside", one("0a 0003 0000000000000001 ffffffff ffffffff"), "outside the tail"},
		{"readiness", frame(1, unready, padRecord(t, "6e 00 00000000 00000001")), "readiness 9"},
		{"status", one(attempt + " 10"), "status 16"},
		{"report", one(attempt + " 00 00 05"), "report of 5"},
		{"destination", frame(1, nil, nan), "destination"},
	}
	for _, tt := range tests {
		_, _, err := ReadBatch(bytes.NewReader(tt.in))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one that says %q", tt.name, err, tt.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %v", tt.name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("clean end: %v", err)
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"balancers":2,"unknown":[1],"classes":[{"repeat":"dedup","dedup_window_us":5}],
		"limits":{"most_held":7},"specifics":{"calls_out":9,"own_limits":[true]},"safety":{"fall_us":3}}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Balancers != 2 || s.Classes[0].Window != 5 || s.Limits.MostHeld != 7 || s.Specifics.CallsOut != 9 ||
		!s.Specifics.OwnLimits[0] || s.Safety.FallTime != 3 || s.OverShareWorth != 1 {
		t.Errorf("settings %+v", s)
	}
	for _, bad := range []string{"", "[]", `{"balancers":"two"}`, "{"} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%q passed", bad)
		}
	}
}

// FuzzReadBatch: no input makes the decoder panic, and what it takes it takes in whole.
func FuzzReadBatch(f *testing.F) {
	f.Add(frame(1, nil, padRecord(f, "1e 0003 5d3a91c4"), padRecord(f, "3c 0005 0e6f2b19")))
	f.Add(
		frame(
			1,
			make([]byte, 24),
			padRecord(f, "6e 0f 00000000 00000001"),
			padRecord(f, "0a 0001 0000000000000001 00000000 00000002"),
		),
	)
	f.Add(frame(9, nil, padRecord(f, "32 0003 00000001 00000000 0000 00 00000000 00000000 fe 00 02")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, in []byte) {
		_, ev, err := ReadBatch(bytes.NewReader(in))
		if err == nil && len(in) < batchHeader+len(ev)*eventSize {
			t.Fatalf("%d events out of %d bytes", len(ev), len(in))
		}
	})
}
