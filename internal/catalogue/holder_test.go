package catalogue

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// docValue returns an encoded document.
func docValue(t *testing.T, version uint64, edit, text string) []byte {
	t.Helper()
	d := Document{Change: Change{Version: version, EditID: edit}, Text: text}
	value, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against a holder that adopts an older, invalid or inconsistent document,
// or records a rejected one twice.
func TestHolderOffer(t *testing.T) {
	good := docValue(t, 5, "e5", entryText("a"))
	invalid := docValue(t, 6, "e6", entryText("a", "owner=-"))
	for name, c := range map[string]struct {
		version uint64
		value   []byte
		adopted bool
		err     error // expected error; any if errAny is set
		errAny  bool
	}{
		"newer":                {7, docValue(t, 7, "e7", ""), true, nil, false},
		"newer, version unset": {0, docValue(t, 7, "e7", ""), true, nil, false},
		"same again":           {5, good, false, nil, false},
		"same, version unset":  {0, good, false, nil, false},
		"older":                {4, docValue(t, 4, "e4", ""), false, nil, false},
		"older, version unset": {0, docValue(t, 4, "e4", ""), false, nil, false},
		"older, unreadable":    {4, []byte("x"), false, nil, false},
		"same, other content":  {5, docValue(t, 5, "other", ""), false, ErrContentMismatch, false},
		"invalid":              {6, invalid, false, nil, true},
		"garbage":              {6, []byte("garbage"), false, nil, true},
		"truncated":            {7, docValue(t, 7, "e7", entryText("a"))[:40], false, nil, true},
		"nil":                  {6, nil, false, nil, true},
		"other version inside": {9, docValue(t, 8, "e8", ""), false, ErrVersionMismatch, false},
		"no version inside":    {0, docValue(t, 0, "e", ""), false, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHolder()
			if adopted, err := h.Offer(5, good); !adopted || err != nil {
				t.Fatalf("first offer: got adopted %v, error %v", adopted, err)
			}
			adopted, err := h.Offer(c.version, c.value)
			if adopted != c.adopted || (err != nil) != (c.errAny || c.err != nil) || (c.err != nil && !errors.Is(err, c.err)) {
				t.Fatalf("offer: got adopted %v, error %v", adopted, err)
			}
			if got := len(h.Refused()); (got == 1) != (err != nil) {
				t.Errorf("got %d recorded as refused after error %v", got, err)
			}
			if _, v := h.Current(); !c.adopted && v != 5 {
				t.Errorf("got active version %d, want 5", v)
			}
			if _, again := h.Offer(c.version, c.value); (again != nil) != (err != nil) || len(h.Refused()) > 1 {
				t.Errorf("repeated offer: got error %v, %d recorded as refused", again, len(h.Refused()))
			}
			if v, value := h.Document(); !c.adopted && (v != 5 || !bytes.Equal(value, good)) {
				t.Errorf("got document of version %d to forward, want 5 unchanged", v)
			}
		})
	}
}

// Guards against a valid document that stays rejected because it was first
// offered under a wrong version.
func TestHolderAdoptsValueAfterVersionMismatch(t *testing.T) {
	h, value := NewHolder(), docValue(t, 3, "e3", "")
	if _, err := h.Offer(4, value); err == nil {
		t.Fatal("document adopted under a wrong version")
	}
	if adopted, err := h.Offer(3, value); !adopted || err != nil {
		t.Errorf("offer under its own version: got adopted %v, error %v", adopted, err)
	}
}

// Guards against a process that starts with too few answers, and so with an
// outdated catalogue or none.
func TestBootstrap(t *testing.T) {
	store, remote := Source{}, Source{VM: "remote"}
	local := func(vm string) Source { return Source{VM: vm, SameDatacentre: true} }
	type answer struct {
		source  Source
		version uint64
	}
	for name, c := range map[string]struct {
		expect       int // number of other local nodes; -1: unknown
		answers      []answer
		early, later bool // done immediately, done after BootstrapTimeout
	}{
		"no answers":              {-1, nil, false, false},
		"no answers, no peers":    {0, nil, false, false},
		"store, no peers":         {0, []answer{{store, 0}}, true, true},
		"store, peers unknown":    {-1, []answer{{store, 5}}, false, true},
		"store and one of two":    {2, []answer{{store, 5}, {local("a"), 5}}, false, true},
		"store and two of nine":   {9, []answer{{store, 5}, {local("a"), 5}, {local("b"), 5}}, false, true},
		"store and all two":       {2, []answer{{store, 4}, {local("a"), 5}, {local("b"), 5}}, true, true},
		"two":                     {9, []answer{{local("a"), 5}, {local("b"), 5}}, false, true},
		"one three times":         {9, []answer{{local("a"), 5}, {local("a"), 5}, {local("a"), 5}}, false, true},
		"three":                   {9, []answer{{local("a"), 5}, {local("b"), 4}, {local("c"), 5}}, true, true},
		"the only peer":           {1, []answer{{local("a"), 5}}, true, true},
		"three empty":             {3, []answer{{local("a"), 0}, {local("b"), 0}, {local("c"), 0}}, false, false},
		"three empty, one remote": {3, []answer{{local("a"), 0}, {local("b"), 0}, {local("c"), 0}, {remote, 5}}, true, true},
		"remote only":             {9, []answer{{remote, 5}}, false, true},
		"two and one remote":      {9, []answer{{local("a"), 5}, {local("b"), 5}, {remote, 5}}, false, true},
		"store, two peers empty":  {2, []answer{{store, 0}, {local("a"), 0}, {local("b"), 0}}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			started := time.Unix(1000, 0)
			b := NewBootstrap(started)
			b.SetPeers(c.expect)
			highest := uint64(0)
			for _, a := range c.answers {
				b.Observe(a.source, a.version)
				highest = max(highest, a.version)
			}
			h := NewHolder()
			if early := b.Done(started.Add(BootstrapTimeout - 1)); early != c.early {
				t.Errorf("before the timeout: got done %v, want %v", early, c.early)
			}
			if later := b.Done(started.Add(BootstrapTimeout)); later != c.later {
				t.Errorf("after the timeout: got done %v, want %v", later, c.later)
			}
			if ready := h.Ready(b, started.Add(BootstrapTimeout)); ready != (c.later && highest == 0) {
				t.Errorf("got ready %v with version 0 active and highest version %d", ready, highest)
			}
			if highest == 0 {
				return
			}
			if _, err := h.Offer(highest, docValue(t, highest, "e", entryText("a", "owner=-"))); err == nil {
				t.Fatal("invalid document adopted")
			}
			if ready := h.Ready(b, started.Add(BootstrapTimeout)); ready != c.later {
				t.Errorf("got ready %v with the highest version refused", ready)
			}
		})
	}
}
