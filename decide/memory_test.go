package decide

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// TestStoredForm: the recorded form, with every key of it, is read and written again byte for byte. It stands in
// files and in hand-over packets of other versions.
func TestStoredForm(t *testing.T) {
	text, err := os.ReadFile("testdata/memory.json")
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var m Memory
	if err := decoder.Decode(&m); err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(&m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(got, '\n'), text) {
		t.Errorf("read and written again:\n%s\nwant\n%s", got, text)
	}
	lane, endpoint := m.Lanes[0], m.Lanes[0].Endpoints[0]
	for _, value := range []struct {
		key       string
		got, want float64
	}{
		{"rest_until", float64(endpoint.RestUntil), 104},
		{"first_bad", float64(endpoint.FirstBad), 106},
		{"bad_at", float64(endpoint.BadAt), 107},
		{"good_at", float64(endpoint.GoodAt), 108},
		{"good_sent", float64(endpoint.GoodSent), 109},
		{"ok_at", float64(endpoint.OkAt), 110},
		{"need", endpoint.Need, 1.13},
		{"wait_until", float64(lane.WaitUntil), 124},
		{"pause_until", float64(lane.PauseUntil), 125},
		{"nominal", lane.Nominal, 1.26},
		{"limit", lane.Limit, 1.27},
		{"boost", lane.Boost, 1.28},
		{"cut", lane.Cut, 1.29},
		{"cut_at", float64(lane.CutAt), 130},
		{"full_run", float64(lane.FullRun), 133},
		{"full_at", float64(lane.FullAt), 134},
	} {
		if value.got != value.want {
			t.Errorf("%s: %v, want %v", value.key, value.got, value.want)
		}
	}
}
