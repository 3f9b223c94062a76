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

// unhex decodes hexadecimal digits, which may be separated by white space.
func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// padRecord returns a record that begins with the given hexadecimal bytes, padded with zeros to 48 bytes.
func padRecord(t testing.TB, s string) []byte {
	b := unhex(t, s)
	return append(b, make([]byte, eventSize-len(b))...)
}

// frame encodes a batch frame with the given records and tail.
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

// TestKnownBatch decodes the example frame of the protocol's documentation.
func TestKnownBatch(t *testing.T) {
	clock, events, err := ReadBatch(bytes.NewReader(frame(0x805c5a, nil,
		padRecord(t, "1e 0003 5d3a91c4 91f03b7c55d20a64 0003a980 0001 0000 42640000 00000000 00002ee0"),
		padRecord(t, "46 0003 000000000000004d"), padRecord(t, "3c 0005 0e6f2b19"))))
	if err != nil || clock != 0x805c5a || len(events) != 3 {
		t.Fatalf("ReadBatch() = clock %#x, %d events, error %v, want clock 0x805c5a, 3 events, no error",
			clock, len(events), err)
	}
	call := events[0]
	if call.Code != EvCall || call.Relay != 3 || call.Ticket != 0x5d3a91c4 || call.Subject != 0x91f03b7c55d20a64 ||
		call.Grace != 0x3a980 || call.Flags != 1 || call.Class != 0 || call.Dest != 57 || call.Estimate != 12000 {
		t.Errorf("events[0] = %+v, want the call of ticket 0x5d3a91c4 for destination 57", call)
	}
	if events[1].Token != 0x4d || events[2].Relay != 5 || events[2].Ticket != 0x0e6f2b19 {
		t.Errorf("events[1:] = %+v, want the alarm with token 0x4d and the lapse of ticket 0xe6f2b19 at relay 5",
			events[1:])
	}
}

// TestKnownList decodes a list of two endpoints and a sync event that refers to the list by its number.
func TestKnownList(t *testing.T) {
	tail := unhex(t, `0a124a07 1f43 0000 00 0039 01 3f800000 0000000000000000
		0a9011f2 1f6c 0001 02 0039 02 3fc00000 00000000005d1420`)
	_, events, err := ReadBatch(bytes.NewReader(frame(1, tail, padRecord(t, "6e 0f 00000000 00000002"),
		padRecord(t, "14 0003 00 0000000000000029 0f"))))
	if err != nil {
		t.Fatal(err)
	}
	want := Entry{Endpoint: 0x0a9011f21f6c, Zone: 1, Kind: 2, Dest: 57, State: 2, Nominal: 1.5, CameUp: 0x5d1420}
	if len(events[0].Entries) != 2 || events[0].Entries[1] != want || events[1].Sheet != 15 || events[1].Token != 0x29 {
		t.Errorf("entries = %+v, sync = %+v, want 2 entries, the second %+v, and a sync to list 15, version 0x29",
			events[0].Entries, events[1], want)
	}
}

// TestKnownOutcome decodes the end of an attempt that the endpoint rejected, with a load report.
func TestKnownOutcome(t *testing.T) {
	_, events, err := ReadBatch(bytes.NewReader(frame(
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
	got := events[0]
	if got.Attempt != 7 || got.Note != 25 || got.Took != 0x4844 || got.Status != StatusFull || !got.Settled ||
		got.Reports != 2 || got.Report[1] != 1.25 || got.Endpoint != 0x0a124a071f43 {
		t.Errorf("ReadBatch() = %+v, want attempt 7 at endpoint 0xa124a071f43, settled, status %d, 2 report values",
			got, StatusFull)
	}
}

// TestKnownReply encodes the example reply of the protocol's documentation.
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
		t.Errorf("AppendReply() =\n     %x\nwant %x", got, want)
	}
	if _, err := AppendReply(nil, []Action{{Code: 1}}); err == nil {
		t.Error("AppendReply(action with unknown code 1) = no error, want one")
	}
}

// TestEveryAction encodes further kinds of action, one in each reply.
func TestEveryAction(t *testing.T) {
	for _, tt := range []struct {
		action Action
		want   string
	}{
		{Action{Code: ActRefuse, Relay: 3, Ticket: 0x0e6f2b19, After: 250000}, "1e 0003 0e6f2b19 0003d090"},
		{Action{Code: ActLose, Relay: 3, Ticket: 0x0e6f2b19}, "46 0003 0e6f2b19"},
		{Action{Code: ActCancel, Relay: 3, Ticket: 0x5d3a91c4, Attempt: 2}, "78 0003 5d3a91c4 02"},
		{Action{Code: ActProbe, Relay: 3, Endpoint: 0x0a9011f21f6c}, "50 0003 0a9011f2 1f6c"},
		{Action{Code: ActClose, Relay: 3, Endpoint: 0x0a9011f21f6c}, "6e 0003 0a9011f2 1f6c"},
		{Action{Code: ActListen, Relay: 3, On: true}, "32 0003 01"},
		{Action{Code: ActRead, Relay: 3}, "5a 0003"},
	} {
		got, err := AppendReply(nil, []Action{tt.action})
		want := unhex(t, tt.want)
		want = append(want, make([]byte, actionSize-len(want))...)
		if err != nil || !bytes.Equal(got[replyHeader:], want) {
			t.Errorf("AppendReply(%+v) = %x, error %v, want a record %x", tt.action, got, err, want)
		}
	}
}

// TestMalformed checks that each malformed frame gives an error of one line that names the wrong field.
func TestMalformed(t *testing.T) {
	call := padRecord(t, "1e 0003 5d3a91c4")
	nanDestination := append([]byte(nil), call...)
	be.PutUint32(nanDestination[23:], math.Float32bits(float32(math.NaN())))
	tooManyRecords := frame(1, nil, call)
	be.PutUint32(tooManyRecords[12:], 2)
	hugeLength := frame(1, nil)
	be.PutUint32(hugeLength[8:], math.MaxUint32)
	unknownReadiness := make([]byte, entrySize)
	unknownReadiness[11] = 9
	const attempt = "32 0003 00000001 00000000 0000 00 00000000 00000000"
	oneRecord := func(record string) []byte { return frame(1, nil, padRecord(t, record)) }
	tests := []struct {
		name string
		in   []byte
		want string
	}{
		{"short header", make([]byte, 7), "header"},
		{"short body", frame(1, nil, call)[:40], "body"},
		{"more records than the body holds", tooManyRecords, "records"},
		{"huge body length", hugeLength, "length"},
		{"unknown event code", oneRecord("07"), "code 7"},
		{"list number of a table too high", oneRecord("6e 10"), "list number 16"},
		{"list number of a sync too high", oneRecord("14 0003 04 0000000000000001 10"), "list number 16"},
		{"unknown sync kind", oneRecord("14 0003 02"), "kind 2"},
		{
			"entries beyond the tail", frame(1, make([]byte, 30), padRecord(t, "6e 00 00000000 00000002")),
			"outside the tail",
		},
		{
			"text offset beyond the tail", oneRecord("0a 0003 0000000000000001 ffffffff ffffffff"),
			"outside the tail",
		},
		{
			"unknown readiness", frame(1, unknownReadiness, padRecord(t, "6e 00 00000000 00000001")),
			"readiness 9",
		},
		{"unknown status", oneRecord(attempt + " 10"), "status 16"},
		{"too many report values", oneRecord(attempt + " 00 00 05"), "report of 5"},
		{"destination is not a number", frame(1, nil, nanDestination), "destination"},
	}
	for _, tt := range tests {
		_, _, err := ReadBatch(bytes.NewReader(tt.in))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: ReadBatch(%x) = error %v, want one that contains %q", tt.name, tt.in, err, tt.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: ReadBatch(%x) = error %q, want a single line", tt.name, tt.in, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("ReadBatch(empty input) = error %v, want io.EOF", err)
	}
}

// TestSettings checks that unknown keys are ignored, that absent keys get their defaults, and that invalid JSON and
// values of a wrong type give an error.
func TestSettings(t *testing.T) {
	got, err := ParseSettings([]byte(`{"balancers":2,"unknown":[1],"classes":[{"repeat":"dedup","dedup_window_us":5}],
		"limits":{"most_held":7},"specifics":{"calls_out":9,"own_limits":[true]},"safety":{"fall_us":3}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got.Balancers != 2 || got.Classes[0].Window != 5 || got.Limits.MostHeld != 7 || got.Specifics.CallsOut != 9 ||
		!got.Specifics.OwnLimits[0] || got.Safety.FallTime != 3 || got.OverShareWorth != 1 {
		t.Errorf("ParseSettings() = %+v, want the values of the text, and 1 for the absent over_share_worth", got)
	}
	for _, bad := range []string{"", "[]", `{"balancers":"two"}`, "{"} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("ParseSettings(%q) = no error, want one", bad)
		}
	}
}

// FuzzReadBatch checks that no input makes the decoder panic, and that the input holds every record that the decoder
// returns.
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
		_, events, err := ReadBatch(bytes.NewReader(in))
		if err == nil && len(in) < batchHeader+len(events)*eventSize {
			t.Fatalf("ReadBatch(%x) = %d events, which do not fit in %d bytes", in, len(events), len(in))
		}
	})
}
