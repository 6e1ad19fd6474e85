package homes

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

var epoch = time.UnixMilli(1_800_000_000_000)

const service = "cutdesk"

// vms returns homes given by VM name and incarnation, for example "a1".
func vms(names ...string) []Home {
	var set []Home
	for _, n := range names {
		set = append(set, Home{VM: n[:1], Incarnation: uint64(n[1] - '0')})
	}
	return set
}

func live(names ...string) map[string][]Home { return map[string][]Home{service: vms(names...)} }

func idAt(t time.Time, random uint64) contract.OrderID {
	var id contract.OrderID
	for i := range 6 {
		id[i] = byte(t.UnixMilli() >> (40 - 8*i))
	}
	for i := range 8 {
		id[8+i] = byte(random >> (8 * i))
	}
	return id
}

// buildDocument edits a document once for each view, one second apart.
func buildDocument(views ...map[string][]Home) *Document {
	var d *Document
	for i, v := range views {
		d, _ = Editor{}.Edit(epoch.Add(time.Duration(i)*time.Second), d, v)
	}
	return d
}

// TestLaterVersionsKeepHomes guards against a later version that moves an id
// which some home was already allowed to run.
func TestLaterVersionsKeepHomes(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(p)
	properties.Property("later versions keep the home of an allowed id", prop.ForAll(
		func(masks []uint8, gaps []int16, random uint64) bool {
			now, allowed := epoch, map[contract.OrderID]Home{}
			var d *Document
			for i, mask := range masks {
				var names []string
				for vm := range 5 {
					if mask>>vm&1 == 1 {
						names = append(names, fmt.Sprintf("%c%d", 'a'+vm, mask>>5))
					}
				}
				// The clock advances, or steps back by less than the margin.
				now = now.Add(time.Duration(int(gaps[i%len(gaps)])%20_000) * time.Millisecond / 2)
				now = now.Add(max(0, epoch.Sub(now)))
				d, _ = Editor{}.Edit(now, d, live(names...))
				a := NewAuthority(service)
				a.SetDocument(d)
				for id, home := range allowed {
					if h, ok := d.Home(service, id); ok && h != home {
						return false
					}
				}
				id := idAt(a.Limit().Add(-time.Millisecond), random+uint64(i))
				if h, ok := d.Home(service, id); ok {
					allowed[id] = h
				}
			}
			return true
		},
		gen.SliceOfN(12, gen.UInt8()), gen.SliceOfN(12, gen.Int16Range(-900, 19_000)), gen.UInt64()))
	properties.TestingRun(t)
}

func TestEditActivatesListsAfterDelay(t *testing.T) {
	ab := buildDocument(live("a1", "b1"))
	for _, c := range []struct {
		name    string
		base    *Document
		at      time.Duration
		view    map[string][]Home
		changed int
		from    time.Duration // of the newest list
		lists   int
		members int
	}{
		{"first list is active immediately", nil, 0, live("a1"), 1, 0, 1, 1},
		{"join is active after the delay", ab, time.Minute, live("a1", "b1", "c1"), 1, time.Minute + ActivationDelay + idResolution, 2, 3},
		{"restart changes the list", ab, time.Minute, live("a1", "b2"), 1, time.Minute + ActivationDelay + idResolution, 2, 2},
		{"clock of the editor behind", ab, -time.Hour, live("a1"), 1, ActivationDelay + idResolution, 2, 1},
		{"second change within the delay", buildDocument(live("a1"), live("a1", "b1")), time.Second, live("b1"), 1, time.Second + ActivationDelay + 2*idResolution, 3, 1},
		{"members unchanged", ab, time.Minute, live("b1", "a1"), 0, 0, 1, 2},
		{"without live members the list is kept", ab, time.Minute, nil, 0, 0, 1, 2},
		{"older incarnation next to a newer one", ab, time.Minute, live("a1", "a2", "b1"), 1, time.Minute + ActivationDelay + idResolution, 2, 2},
		{"lists past the horizon are dropped", buildDocument(live("a1"), live("b1"), live("c1")), Horizon + time.Minute, live("d1"), 1, Horizon + time.Minute + ActivationDelay + idResolution, 2, 1},
	} {
		next, changed := Editor{}.Edit(epoch.Add(c.at), c.base, c.view)
		lists := next.Services[service]
		newest := lists[len(lists)-1]
		if len(changed) != c.changed || len(lists) != c.lists || len(newest.Members) != c.members || !newest.From.Equal(epoch.Add(c.from)) {
			t.Errorf("%s: got changed services %v, %d lists, newest list %+v", c.name, changed, len(lists), newest)
		}
	}
}

func TestWitnessesSpreadOverDatacentres(t *testing.T) {
	all := map[string][]Home{service: vms("a1", "b1"), "other": vms("c1", "d1", "e1", "f1", "g1", "h1", "i1")}
	editor := Editor{Datacentre: func(vm string) string { return fmt.Sprint((vm[0] - 'a') % 3) }}
	d, _ := editor.Edit(epoch, nil, all)
	perDatacentre := map[string]int{}
	for _, h := range d.Witnesses[service] {
		perDatacentre[editor.Datacentre(h.VM)]++
	}
	if len(d.Witnesses[service]) != NumWitnesses || perDatacentre["0"] > 3 || perDatacentre["1"] > 3 || perDatacentre["2"] > 3 {
		t.Errorf("got witnesses %v, by data centre %v; want NumWitnesses, at most 3 per data centre", d.Witnesses[service], perDatacentre)
	}
	all["other"] = vms("c1", "d2", "e1", "f1", "g1", "h1", "i1")
	next, changed := editor.Edit(epoch, d, all)
	kept := 0
	for _, h := range next.Witnesses[service] {
		if contains(d.Witnesses[service], h) {
			kept++
		}
	}
	if contains(next.Witnesses[service], Home{"d", 1}) || kept < NumWitnesses-1 || len(changed) == 0 {
		t.Errorf("after the restart of d: got witnesses %v, changed services %v; want only d replaced", next.Witnesses[service], changed)
	}
}

func TestWitnessConfirmsOnlyCurrentVersion(t *testing.T) {
	ask := func(v uint64) *linkpb.Vouch { return &linkpb.Vouch{AskedHomesVersion: v, AskedUnixUs: 9} }
	for _, c := range []struct {
		name            string
		known, intended uint64
		asked           uint64
		confirms        bool
	}{
		{"request for the same version", 5, 0, 5, true},
		{"home has a newer version", 5, 0, 6, true},
		{"home has an older version", 5, 0, 4, false},
		{"intent to replace the version", 5, 5, 5, false},
		{"intent to replace a version not seen yet", 4, 5, 5, false},
		{"version newer than the intent", 6, 5, 6, true},
		{"restarted witness without a version", 0, 0, 5, true},
	} {
		w := Witness{}
		w.ObserveVersion(c.known)
		w.RecordIntent(c.intended)
		w.RecordIntent(c.intended - min(1, c.intended)) // an older intent arrives late
		if got := w.Answer(epoch, ask(c.asked)).GetVouchedUnixUs() == 9; got != c.confirms {
			t.Errorf("%s: got confirmation %t", c.name, got)
		}
	}
}

// TestWitnessRejectsWrongClocks guards against a home or an editor whose clock
// differs from the witness's by more than ClockMargin. The witness's clock has
// reached 10 s.
func TestWitnessRejectsWrongClocks(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name       string
		now, asked float64
		intent     uint64
		want       bool
	}{
		{"home ahead within the margin", 10, 10.9, 0, true},
		{"home ahead beyond the margin", 10, 11.1, 0, false},
		{"home far behind", 10, -99, 0, true},
		{"editor behind within the margin", 10, 9.1, 5, true},
		{"editor behind beyond the margin", 10, 8.9, 5, false},
		{"editor far ahead", 10, 99, 5, true},
		{"witness clock steps back, editor behind", 5, 8.9, 5, false},
		{"witness clock steps back, home ahead", 5, 10.9, 0, true},
	} {
		w := Witness{}
		w.Answer(at(10), &linkpb.Vouch{AskedUnixUs: 1})
		got := w.Answer(at(c.now), &linkpb.Vouch{AskedHomesVersion: 5 - c.intent, AskedUnixUs: at(c.asked).UnixMicro(), IntentHomesVersion: c.intent})
		if done := got.GetVouchedUnixUs() != 0 || got.GetIntentTaken() == 5; done != c.want {
			t.Errorf("%s: got unexpected answer %v", c.name, got)
		}
	}
}

func TestLimitNeedsMajority(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	type confirmation struct {
		from string
		at   int
	}
	for _, c := range []struct {
		name          string
		witnesses     []string
		confirmations []confirmation
		confirmed     int
	}{
		{"document only", []string{"a1", "b1", "c1"}, nil, 0},
		{"minority", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 9}}, 0},
		{"half of four", []string{"a1", "b1", "c1", "d1"}, []confirmation{{"a1", 9}, {"b1", 9}}, 0},
		{"majority counts from its oldest confirmation", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 9}, {"b1", 5}}, 5},
		{"one witness twice", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 9}, {"a1", 8}}, 0},
		{"restarted witness", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 9}, {"b2", 9}}, 0},
		{"not a witness", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 9}, {"z1", 9}}, 0},
		{"confirmation without a request", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 99}, {"b1", 99}}, 0},
		{"late confirmations", []string{"a1", "b1", "c1"}, []confirmation{{"a1", 9}, {"b1", 9}, {"a1", 3}, {"b1", 4}}, 9},
	} {
		a := NewAuthority(service)
		a.SetDocument(buildDocument(live(c.witnesses...)))
		a.Ask(at(20))
		for _, v := range c.confirmations {
			a.HandleConfirmation(vms(v.from)[0], &linkpb.Vouch{VouchedUnixUs: at(v.at).UnixMicro()})
		}
		want := at(c.confirmed).Add(ActivationDelay - 2*ClockMargin)
		if c.confirmed == 0 { // the confirmation by the document
			want = epoch.Add(ActivationDelay - ClockMargin)
		}
		if !a.Limit().Equal(want) {
			t.Errorf("%s: got limit %v after the epoch", c.name, a.Limit().Sub(epoch))
		}
	}
}

// TestIntentChangesOnlyReadyServices changes two services in one document, one
// of which may lack its majority.
func TestIntentChangesOnlyReadyServices(t *testing.T) {
	view := map[string][]Home{service: vms("a1", "b1", "c1"), "other": vms("d1", "e1", "f1")}
	base := buildDocument(view)
	base.Witnesses = map[string][]Home{service: view[service], "other": view["other"]}
	ack := func(v uint64) *linkpb.Vouch { return &linkpb.Vouch{IntentTaken: v} }
	next := map[string][]Home{service: vms("a1", "b1"), "other": vms("d1", "e1"), "new": vms("g1")}
	for _, c := range []struct {
		name string
		acks map[string]uint64
		want int // services changed, "new" among them
	}{
		{"no acknowledgement", nil, 1},
		{"minority of one service", map[string]uint64{"a1": 1}, 1},
		{"majority of one service", map[string]uint64{"a1": 1, "c1": 1, "d1": 1}, 2},
		{"acknowledgement of an older version", map[string]uint64{"a1": 0, "b1": 0}, 1},
		{"later incarnations", map[string]uint64{"a2": 1, "c3": 1}, 2},
		{"earlier incarnations", map[string]uint64{"a0": 1, "c0": 1}, 1},
		{"nodes that are not witnesses", map[string]uint64{"x1": 1, "y1": 1, "z1": 1}, 1},
		{"majority of both services", map[string]uint64{"a1": 1, "b1": 1, "d1": 1, "e1": 2}, 3},
	} {
		i := NewIntent(base, []string{service, "other", "new"})
		for from, v := range c.acks {
			i.HandleAck(vms(from)[0], ack(v))
		}
		_, changed := i.Edit(Editor{}, epoch.Add(time.Minute), next)
		if len(changed) != c.want || i.Ready() != (c.want == 3) {
			t.Errorf("%s: got changed services %v, ready %t", c.name, changed, i.Ready())
		}
	}
}

func TestHolderRejectsInvalidDocuments(t *testing.T) {
	encode := func(d *Document) []byte {
		value, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	d1 := buildDocument(live("a1", "b1"))
	d2 := Refresh(epoch.Add(time.Second), d1)
	d3, _ := Editor{}.Edit(epoch.Add(2*time.Second), d2, live("a1"))
	// A node that has version 1 derives version 2 from the confirmation time of
	// version 2.
	rederived := Refresh(d2.Confirmed, d1)
	h := NewHolder()
	for i, c := range []struct {
		offer   func(uint64, []byte) (bool, error)
		version uint64
		value   []byte
		adopted bool
		err     error
	}{
		{h.Offer, 1, []byte(`{"version":1`), false, ErrUnreadable},
		{h.Offer, 1, []byte(`{"version":1,"services":[{"name":"s","lists":[{"members":[0]}]}]}`), false, ErrUnreadable},
		{h.Offer, 2, encode(d1), false, ErrUnreadable},
		{h.Offer, 1, encode(d1), true, nil},
		{h.Offer, 1, encode(d1), false, nil},
		{h.Offer, 1, encode(buildDocument(live("c1"))), false, ErrFork},
		{h.Offer, 2, encode(d2), true, nil},
		{h.Offer, 2, encode(rederived), false, nil}, // the same bytes as from the store
		{h.Offer, 3, encode(d3), true, nil},
		{h.Offer, 1, encode(d1), false, nil},
	} {
		if adopted, err := c.offer(c.version, c.value); adopted != c.adopted || !errors.Is(err, c.err) {
			t.Errorf("offer %d: got adopted %t, error %v", i, adopted, err)
		}
	}
	if got := h.Current(); got.Version != 3 || len(got.Services[service]) != 2 {
		t.Errorf("got document %+v, want version 3 with 2 lists", got)
	}
}

// TestRefreshIndependentOfSkippedVersions guards against refreshed versions
// whose bytes depend on whether a node created all versions in between or only
// the last one, also when lists pass the horizon.
func TestRefreshIndependentOfSkippedVersions(t *testing.T) {
	all := buildDocument(live("a1"), live("b1"), live("a1", "b1"), live("c1"))
	for second := 1; second < 900; second += 7 {
		at := epoch.Add(time.Duration(second) * time.Second)
		direct := Refresh(at, buildDocument(live("a1"), live("b1"), live("a1", "b1"), live("c1")))
		all = Refresh(at, all)
		direct.Version = all.Version
		a, _ := all.Encode()
		b, _ := direct.Encode()
		if string(a) != string(b) {
			t.Fatalf("after %d s: got %s from all refreshes, %s from the last one only", second, a, b)
		}
	}
	if len(all.Services[service]) != 1 {
		t.Errorf("got history %v, want one list", all.Services[service])
	}
}
