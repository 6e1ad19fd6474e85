package sidecar

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"heathershed/internal/settings"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

// oddSpecs are records as another writer may have left them, all valid JSON.
func oddSpecs() map[string]string {
	spec := func(name, field, value string) string {
		r := record{VM: name, Datacentre: "west", Address: "127.0.0.1:1", Service: "far", Instance: "i", Slots: 4}
		text, _ := json.Marshal(r) // never fails: a record has only texts and numbers
		var fields map[string]json.RawMessage
		_ = json.Unmarshal(text, &fields) // never fails: it was marshalled
		fields[field] = json.RawMessage(value)
		text, _ = json.Marshal(fields) // never fails: value is valid
		return string(text)
	}
	specs := make(map[string]string)
	for i, odd := range [][2]string{
		{"address", `"10.0.0.1:99999"`}, {"address", `"10.0.0.1:-1"`}, {"address", `"10.0.0.1"`}, {"address", `"%zz:80"`}, {"address", `""`},
		{"address", `7`}, {"slots", `-1`}, {"slots", `9223372036854775807`}, {"slots", `1e300`}, {"slots", `0.5`}, {"slots", `"4"`},
		{"vm", `"another"`}, {"vm", `null`}, {"instance", `{}`}, {"drainSeq", `-1`}, {"drainSeq", `1e30`},
		{"service", `"` + strings.Repeat("s", 500_000) + `"`}, {"service", strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)},
	} {
		name := fmt.Sprint("odd-", i)
		specs[name] = spec(name, odd[0], odd[1])
	}
	specs["odd-list"], specs["odd-text"], specs["odd-null"] = `[]`, `"x"`, `null`
	return specs
}

// TestNodesServeBesideOddRecords guards against nodes that end, or find nobody, because
// of an odd record, and against a line of log for it with each list.
func TestNodesServeBesideOddRecords(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(1, "near", "far")
	objects := platform.NewObjectClient(tc.address)
	for name, spec := range oddSpecs() {
		if _, err := objects.Put(t.Context(), recordKind, platform.Object{Name: name, Spec: []byte(spec)}); err != nil {
			t.Fatal(name, err)
		}
	}
	near, far := tc.start("near"), tc.start("far")
	tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
	near.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	near.waitServing("/far/1")
	for range 50 {
		if a := near.request("GET", "/far/1", nil); a.status != http.StatusOK {
			t.Errorf("got status %d, want 200", a.status)
		}
	}
	if known, _ := near.node.fleet.Counts(); known != 2 {
		t.Errorf("%d upstreams known, want the 2 of the nodes", known)
	}
	for _, m := range []*vm{near, far} {
		select {
		case err := <-m.done:
			t.Errorf("%s ended: %v", m.cfg.VM, err)
		default:
		}
	}
}

func TestOddRecordIsLoggedOnce(t *testing.T) {
	log := &logBuffer{}
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.NewTextHandler(log, nil)))
	d := &recordTask{n: n}
	odd := []platform.Object{{Name: "a", Spec: []byte("7")}, {Err: errors.New("object without a name")}}
	for range 5 {
		d.merge(odd)
	}
	if got := strings.Count(log.String(), "record unreadable"); got != len(odd) {
		t.Errorf("got %d lines for %d odd records in 5 lists, want one each", got, len(odd))
	}
}

// TestOddRecordIsLoggedShort guards against a line of log as long as a number of another
// writer, which the decoder's error quotes.
func TestOddRecordIsLoggedShort(t *testing.T) {
	const most = 2 << 10 // bytes
	log := &logBuffer{}
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.NewTextHandler(log, nil)))
	number := strings.Repeat("9", 500_000)
	(&recordTask{n: n}).merge([]platform.Object{{Name: number, Spec: []byte(`{"slots":` + number + `}`)}})
	if got := len(log.String()); got == 0 || got > most {
		t.Errorf("got %d bytes of log, want 1 to %d", got, most)
	}
}

func TestConfigurationThatIsRefusedIsLoggedOnce(t *testing.T) {
	log := &logBuffer{}
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.NewTextHandler(log, nil)))
	for _, want := range []int{1, 2} { // once more after another one was active
		for range 5 {
			if _, err := n.adopt("read", []byte(`{"version":-1}`)); err == nil {
				t.Fatal("got no error")
			}
		}
		if got := strings.Count(log.String(), "configuration refused"); got != want {
			t.Errorf("got %d lines in 5 reads, want %d", got, want)
		}
		if changed, err := n.adopt("read", []byte(platformtest.Config(want, "s"))); !changed || err != nil {
			t.Fatal(changed, err)
		}
	}
}
