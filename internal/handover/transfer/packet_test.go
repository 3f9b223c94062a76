package transfer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/connlimit"
	"troutusher/internal/core"
	"troutusher/internal/handover/link"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/respserver"
)

// fixtureBodies returns the kinds and bodies of the packets in a fixture file. Each line
// of it is a packet: kind, number of descriptors, body.
func fixtureBodies(t *testing.T, name string) (kinds []byte, bodies []string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		parts := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
		if len(parts) != 3 || len(parts[0]) != 1 {
			t.Fatalf("fixture %s: malformed line %q", name, line)
		}
		kinds, bodies = append(kinds, parts[0][0]), append(bodies, parts[2])
	}
	return kinds, bodies
}

// Guards against a change of the packet encoding, which would break the hand-over with
// a process of the version that recorded these packets: each body has to be the same
// after it was decoded and encoded again.
func TestRecordedPacketsRoundTrip(t *testing.T) {
	for _, name := range []string{"predecessor.txt", "successor.txt"} {
		kinds, bodies := fixtureBodies(t, name)
		for i, kind := range kinds {
			var v any
			switch kind {
			case PacketHello:
				v = &hello{}
			case PacketState:
				v = &State{}
			case PacketClients:
				v = &[]respserver.ConnSnapshot{}
			case PacketCalls:
				v = &[]string{}
			default:
				if len(bodies[i]) > 0 {
					t.Errorf("%s: packet %c has the body %s, want none", name, kind, bodies[i])
				}
				continue
			}
			if err := json.Unmarshal([]byte(bodies[i]), v); err != nil {
				t.Errorf("Unmarshal(packet %c) = %v, want nil", kind, err)
			}
			if got, err := json.Marshal(v); err != nil || string(got) != bodies[i] {
				t.Errorf("Marshal(packet %c): error %v\n got %s\nwant %s", kind, err, got, bodies[i])
			}
		}
	}
}

// Guards against a change of the encoding that the recorded packets don't show: of the
// fields that are empty there, of the packet kinds, the file names and the size limits.
func TestPacketEncoding(t *testing.T) {
	for want, v := range map[string]any{
		`{"form":2,"pid":7}`: hello{Version: version, PID: 7},
		`{"core":{"members":null,"named":null,"calls":null,"worth":null,"policy":null},` +
			`"mono":-5,"frozen":6,"agent":"a:1","again":true}`: State{
			Core: &core.HandoverState{}, ClockOrigin: -5, ClientsPausedAt: 6,
			DiscoveryAddr: "a:1", ReloadRequested: true,
		},
		`{"core":null,"mono":0}`: State{},
		`[{"ahead":"aGFsZg==","out":"b3V0","place":{"Known":true,"Spoke":true,"Asked":3,"Left":-4}},` +
			`{"place":{"Known":false,"Spoke":false,"Asked":0,"Left":0}}]`: []respserver.ConnSnapshot{
			{
				FD: 9, Unprocessed: []byte("half"), Unwritten: []byte("out"),
				Slot: connlimit.Snapshot{Validated: true, SentCommand: true, Requests: 3, TimeLeft: -4},
			},
			{},
		},
	} {
		if got, err := json.Marshal(v); err != nil || string(got) != want {
			t.Errorf("Marshal: error %v\n got %s\nwant %s", err, got, want)
		}
	}
	kinds := string([]byte{
		PacketHello, PacketRequest, PacketReject, PacketPart, PacketState, PacketListeners,
		PacketClients, PacketLock, PacketCalls, PacketEnd, PacketClaim, PacketServing,
	})
	if kinds != "HTNpSLCFKEMR" {
		t.Errorf("packet kinds = %s, want HTNpSLCFKEMR", kinds)
	}
	if statelock.FileName != "relay.lock" || link.SocketName != "relay.sock" || link.MaxBodySize != 32<<10 ||
		link.MaxDescriptors != 64 {
		t.Errorf("lock file %s, socket %s, packets of %d bytes, %d descriptors, want relay.lock, relay.sock, 32768, 64",
			statelock.FileName, link.SocketName, link.MaxBodySize, link.MaxDescriptors)
	}
}

// Guards against malformed packets that are accepted or crash the successor. Without
// descriptors in the packet, no client, call or listener may be added.
func FuzzHandoverPacket(f *testing.F) {
	seeds := []string{
		`S{"core":{"members":[]}}`, `C[{"place":{}}]`, `K["a"]`, "L", "E", "N", "x", `S{"core":null}`, `K{}`,
	}
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		if len(in) == 0 {
			return
		}
		h := &Inherited{Calls: map[string]int{}}
		err := h.addPacket(in[0], in[1:], nil)
		if err == nil && in[0] == PacketEnd && h.Core == nil {
			t.Fatal("addPacket(PacketEnd) without a state = nil, want an error")
		}
		if len(h.Clients)+len(h.Calls)+len(h.Listeners) > 0 {
			t.Fatalf("addPacket() of a packet without descriptors added some: %+v", h)
		}
	})
}
