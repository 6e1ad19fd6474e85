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

// vms are the homes of VMs given as name and incarnation, "a1" for example.
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

// grow edits a document once for each view, a second after the other.
func grow(views ...map[string][]Home) *Document {
	var d *Document
	for i, v := range views {
		d, _ = Editor{}.Edit(epoch.Add(time.Duration(i)*time.Second), d, v)
	}
	return d
}

// TestHomeStays: later versions never move an id that a limit allowed before.
func TestHomeStays(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(p)
	properties.Property("the home of an allowed id stays", prop.ForAll(
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
				// Steps of the clock, back by less than the margin too.
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

func TestEdit(t *testing.T) {
	ab := grow(live("a1", "b1"))
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
		{"first list counts at once", nil, 0, live("a1"), 1, 0, 1, 1},
		{"a join counts after the delay", ab, time.Minute, live("a1", "b1", "c1"), 1, time.Minute + ActivationDelay + tick, 2, 3},
		{"a restart is a change", ab, time.Minute, live("a1", "b2"), 1, time.Minute + ActivationDelay + tick, 2, 2},
		{"an editor whose clock is behind", ab, -time.Hour, live("a1"), 1, ActivationDelay + tick, 2, 1},
		{"twice within the delay", grow(live("a1"), live("a1", "b1")), time.Second, live("b1"), 1, time.Second + ActivationDelay + 2*tick, 3, 1},
		{"nothing changed", ab, time.Minute, live("b1", "a1"), 0, 0, 1, 2},
		{"none live keeps the list", ab, time.Minute, nil, 0, 0, 1, 2},
		{"an older incarnation beside a newer", ab, time.Minute, live("a1", "a2", "b1"), 1, time.Minute + ActivationDelay + tick, 2, 2},
		{"lists past the horizon go", grow(live("a1"), live("b1"), live("c1")), Horizon + time.Minute, live("d1"), 1, Horizon + time.Minute + ActivationDelay + tick, 2, 1},
	} {
		next, changed := Editor{}.Edit(epoch.Add(c.at), c.base, c.view)
		lists := next.Services[service]
		newest := lists[len(lists)-1]
		if len(changed) != c.changed || len(lists) != c.lists || len(newest.Members) != c.members || !newest.From.Equal(epoch.Add(c.from)) {
			t.Errorf("%s: changed %v, %d lists, newest %+v", c.name, changed, len(lists), newest)
		}
	}
}

func TestWitnesses(t *testing.T) {
	all := map[string][]Home{service: vms("a1", "b1"), "other": vms("c1", "d1", "e1", "f1", "g1", "h1", "i1")}
	centre := Editor{Datacentre: func(vm string) string { return fmt.Sprint((vm[0] - 'a') % 3) }}
	d, _ := centre.Edit(epoch, nil, all)
	perCentre := map[string]int{}
	for _, h := range d.Witnesses[service] {
		perCentre[centre.Datacentre(h.VM)]++
	}
	if len(d.Witnesses[service]) != NumWitnesses || perCentre["0"] > 3 || perCentre["1"] > 3 || perCentre["2"] > 3 {
		t.Errorf("witnesses %v, by data centre %v", d.Witnesses[service], perCentre)
	}
	all["other"] = vms("c1", "d2", "e1", "f1", "g1", "h1", "i1")
	next, changed := centre.Edit(epoch, d, all)
	kept := 0
	for _, h := range next.Witnesses[service] {
		if contains(d.Witnesses[service], h) {
			kept++
		}
	}
	if contains(next.Witnesses[service], Home{"d", 1}) || kept < NumWitnesses-1 || len(changed) == 0 {
		t.Errorf("after a restart: witnesses %v, changed %v", next.Witnesses[service], changed)
	}
}

func TestWitness(t *testing.T) {
	ask := func(v uint64) *linkpb.Vouch { return &linkpb.Vouch{AskedHomesVersion: v, AskedUnixUs: 9} }
	for _, c := range []struct {
		name            string
		known, intended uint64
		asked           uint64
		vouches         bool
	}{
		{"same version", 5, 0, 5, true},
		{"home knows more", 5, 0, 6, true},
		{"home knows less", 5, 0, 4, false},
		{"intent for the version", 5, 5, 5, false},
		{"intent for a version not known yet", 4, 5, 5, false},
		{"newer than the intent", 6, 5, 6, true},
		{"restarted, knows nothing", 0, 0, 5, true},
	} {
		w := Witness{}
		w.ObserveVersion(c.known)
		w.RecordIntent(c.intended)
		w.RecordIntent(c.intended - min(1, c.intended)) // an older one late
		if got := w.Answer(epoch, ask(c.asked)).GetVouchedUnixUs() == 9; got != c.vouches {
			t.Errorf("%s: vouches %t", c.name, got)
		}
	}
}

// TestWitnessClock: the witness' clock bounds the others'; it stood at 10 s.
func TestWitnessClock(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name       string
		now, asked float64
		intent     uint64
		want       bool
	}{
		{"home a little ahead", 10, 10.9, 0, true},
		{"home far ahead", 10, 11.1, 0, false},
		{"home far behind", 10, -99, 0, true},
		{"editor a little behind", 10, 9.1, 5, true},
		{"editor far behind", 10, 8.9, 5, false},
		{"editor far ahead", 10, 99, 5, true},
		{"own clock steps back, editor behind", 5, 8.9, 5, false},
		{"own clock steps back, home ahead", 5, 10.9, 0, true},
	} {
		w := Witness{}
		w.Answer(at(10), &linkpb.Vouch{AskedUnixUs: 1})
		got := w.Answer(at(c.now), &linkpb.Vouch{AskedHomesVersion: 5 - c.intent, AskedUnixUs: at(c.asked).UnixMicro(), IntentHomesVersion: c.intent})
		if done := got.GetVouchedUnixUs() != 0 || got.GetIntentTaken() == 5; done != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestAuthority(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	type vote struct {
		from string
		at   int
	}
	for _, c := range []struct {
		name      string
		witnesses []string
		votes     []vote
		confirmed int
	}{
		{"document alone", []string{"a1", "b1", "c1"}, nil, 0},
		{"minority", []string{"a1", "b1", "c1"}, []vote{{"a1", 9}}, 0},
		{"half of four", []string{"a1", "b1", "c1", "d1"}, []vote{{"a1", 9}, {"b1", 9}}, 0},
		{"majority counts from its oldest", []string{"a1", "b1", "c1"}, []vote{{"a1", 9}, {"b1", 5}}, 5},
		{"one witness twice", []string{"a1", "b1", "c1"}, []vote{{"a1", 9}, {"a1", 8}}, 0},
		{"restarted witness", []string{"a1", "b1", "c1"}, []vote{{"a1", 9}, {"b2", 9}}, 0},
		{"no witness", []string{"a1", "b1", "c1"}, []vote{{"a1", 9}, {"z1", 9}}, 0},
		{"answer to no question", []string{"a1", "b1", "c1"}, []vote{{"a1", 99}, {"b1", 99}}, 0},
		{"late answers", []string{"a1", "b1", "c1"}, []vote{{"a1", 9}, {"b1", 9}, {"a1", 3}, {"b1", 4}}, 9},
	} {
		a := NewAuthority(service)
		a.SetDocument(grow(live(c.witnesses...)))
		a.Ask(at(20))
		for _, v := range c.votes {
			a.HandleConfirmation(vms(v.from)[0], &linkpb.Vouch{VouchedUnixUs: at(v.at).UnixMicro()})
		}
		want := at(c.confirmed).Add(ActivationDelay - 2*ClockMargin)
		if c.confirmed == 0 { // the document's
			want = epoch.Add(ActivationDelay - ClockMargin)
		}
		if !a.Limit().Equal(want) {
			t.Errorf("%s: limit %v after the epoch", c.name, a.Limit().Sub(epoch))
		}
	}
}

// TestIntent: two services change in one document; one lacks its majority.
func TestIntent(t *testing.T) {
	view := map[string][]Home{service: vms("a1", "b1", "c1"), "other": vms("d1", "e1", "f1")}
	base := grow(view)
	base.Witnesses = map[string][]Home{service: view[service], "other": view["other"]}
	taken := func(v uint64) *linkpb.Vouch { return &linkpb.Vouch{IntentTaken: v} }
	next := map[string][]Home{service: vms("a1", "b1"), "other": vms("d1", "e1"), "new": vms("g1")}
	for _, c := range []struct {
		name  string
		votes map[string]uint64
		want  int // services changed, "new" among them
	}{
		{"none", nil, 1},
		{"minority of one", map[string]uint64{"a1": 1}, 1},
		{"majority of one", map[string]uint64{"a1": 1, "c1": 1, "d1": 1}, 2},
		{"an older version", map[string]uint64{"a1": 0, "b1": 0}, 1},
		{"later incarnations", map[string]uint64{"a2": 1, "c3": 1}, 2},
		{"earlier incarnations", map[string]uint64{"a0": 1, "c0": 1}, 1},
		{"strangers", map[string]uint64{"x1": 1, "y1": 1, "z1": 1}, 1},
		{"both", map[string]uint64{"a1": 1, "b1": 1, "d1": 1, "e1": 2}, 3},
	} {
		i := NewIntent(base, []string{service, "other", "new"})
		for from, v := range c.votes {
			i.HandleAck(vms(from)[0], taken(v))
		}
		_, changed := i.Edit(Editor{}, epoch.Add(time.Minute), next)
		if len(changed) != c.want || i.Ready() != (c.want == 3) {
			t.Errorf("%s: changed %v, ready %t", c.name, changed, i.Ready())
		}
	}
}

func TestHolder(t *testing.T) {
	encode := func(d *Document) []byte {
		value, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	d1 := grow(live("a1", "b1"))
	d2 := Refresh(epoch.Add(time.Second), d1)
	d3, _ := Editor{}.Edit(epoch.Add(2*time.Second), d2, live("a1"))
	// A node that has version 1 makes version 2 from its confirmation alone.
	remade := Refresh(d2.Confirmed, d1)
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
		{h.Offer, 1, encode(grow(live("c1"))), false, ErrFork},
		{h.Offer, 2, encode(d2), true, nil},
		{h.Offer, 2, encode(remade), false, nil}, // the same bytes as from the store
		{h.Offer, 3, encode(d3), true, nil},
		{h.Offer, 1, encode(d1), false, nil},
	} {
		if adopted, err := c.offer(c.version, c.value); adopted != c.adopted || !errors.Is(err, c.err) {
			t.Errorf("offer %d: adopted %t, err %v", i, adopted, err)
		}
	}
	if got := h.Current(); got.Version != 3 || len(got.Services[service]) != 2 {
		t.Errorf("holds %+v", got)
	}
}

// TestRefreshSkips: refreshes leave the same bytes whether a node made all of
// them or the last one alone, also where lists fall out of the history.
func TestRefreshSkips(t *testing.T) {
	all := grow(live("a1"), live("b1"), live("a1", "b1"), live("c1"))
	for second := 1; second < 900; second += 7 {
		at := epoch.Add(time.Duration(second) * time.Second)
		once := Refresh(at, grow(live("a1"), live("b1"), live("a1", "b1"), live("c1")))
		all = Refresh(at, all)
		once.Version = all.Version
		a, _ := all.Encode()
		b, _ := once.Encode()
		if string(a) != string(b) {
			t.Fatalf("after %d s: %s, made at once %s", second, a, b)
		}
	}
	if len(all.Services[service]) != 1 {
		t.Errorf("history %v", all.Services[service])
	}
}
