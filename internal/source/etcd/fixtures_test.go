package etcd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"troutusher/internal/fixturetest"
)

// fixtureKeys returns the recorded keys and values of the layout.
func fixtureKeys(t *testing.T) (all []KV) {
	t.Helper()
	text := fixturetest.Read(t, "layout.jsonl")
	for dec := json.NewDecoder(bytes.NewReader(text)); dec.More(); {
		var line struct{ Key, Value string }
		if err := dec.Decode(&line); err != nil {
			t.Fatal(err)
		}
		all = append(all, KV{Key: line.Key, Value: line.Value})
	}
	return all
}

// Compares the updates for recorded keys and values with recorded updates: the complete list,
// and then the deletion of a drain, a partner and an endpoint. Guards against a release that
// decodes the values of earlier releases differently.
func TestLayoutFixture(t *testing.T) {
	s := newScriptedMachine(t, 1)
	s.step(nil, &ReadPage{})
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	step := func(e Event) {
		if err := enc.Encode(s.stepToUpdate(e)); err != nil {
			t.Fatal(err)
		}
	}
	step(&PageRead{Cluster: 0x4d, Revision: 9, KVs: fixtureKeys(t)})
	s.step(&WatchOpened{Cluster: 0x4d, Revision: 9})
	step(&Changed{Cluster: 0x4d, Revision: 12, LastRevision: 12, KVs: []KV{
		{Key: "/t/drains/d", Deleted: true},
		{Key: "/t/partners/3", Deleted: true},
		{Key: "/t/endpoints/c", Deleted: true},
	}})
	fixturetest.Check(t, "words.jsonl", text.Bytes())
}

// Decodes each valid recorded value and checks that encoding it again gives the same bytes.
func TestValueFixture(t *testing.T) {
	for _, kv := range fixtureKeys(t) {
		folder, name, ok := splitKey("/t", kv.Key)
		if !ok || CheckValue(folder, name, []byte(kv.Value)) != nil || name == "not-published" {
			continue
		}
		var encoded []byte
		var err error
		switch folder {
		case EndpointsFolder:
			var e Endpoint
			if e, err = DecodeEndpoint([]byte(kv.Value)); err == nil {
				encoded, err = json.Marshal(e)
			}
		case PartnersFolder:
			var p Partner
			if _, p, err = decodePartner(name, []byte(kv.Value)); err == nil {
				encoded, err = json.Marshal(p)
			}
		case DrainsFolder:
			encoded, err = json.Marshal(Drain{Version: layoutVersion})
		}
		if err != nil || string(encoded) != kv.Value {
			t.Errorf("%s: value encoded again = %s (error %v), want %s", kv.Key, encoded, err, kv.Value)
		}
	}
}

// Compares keys, prefixes of folders and ends of ranges with recorded ones. Relays and
// operators' commands of different releases must agree on them.
func TestKeyFixture(t *testing.T) {
	var text bytes.Buffer
	for _, prefix := range []string{"/t", "/t/", "/troutusher/fleet"} {
		for _, folder := range []string{EndpointsFolder, PartnersFolder, DrainsFolder} {
			first := FolderPrefix(prefix, folder)
			fmt.Fprintf(&text, "%q %q %q\n", Key(prefix, folder, "x"), first, RangeEnd(first))
		}
	}
	fmt.Fprintf(&text, "%q %q\n", RangeEnd("/t"), RangeEnd("\xff"))
	fixturetest.Check(t, "keys.txt", text.Bytes())
}
