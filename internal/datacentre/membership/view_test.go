package membership

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

var start = time.Unix(1_000_000, 0)

func testMember(i int, incarnation uint64) *linkpb.Member {
	return &linkpb.Member{
		Vm: fmt.Sprintf("vm-%03d", i), Service: fmt.Sprintf("service-%02d", i%89),
		Region: fmt.Sprintf("region-%d", i%2), Datacentre: fmt.Sprintf("dc-%d-%d", i%2, i/2%4),
		Address: "10.0.0.1:7001", FrontAddress: "10.0.0.1:7002", AdminAddress: "10.0.0.1:7003",
		Incarnation: incarnation, Slots: 55, RenewedUnixMs: start.UnixMilli(),
	}
}

// fleet is a few processes that exchange records, and every record ever made.
type fleet struct {
	now   time.Time
	views []*View // running, by VM
	old   []*View // processes that a restart replaced, paused and resumed
	made  []*linkpb.Member
	side  []int // of a cut, by VM
}

const fleetSize = 6

func newFleet() *fleet {
	f := &fleet{now: start, side: make([]int, fleetSize)}
	for i := range fleetSize {
		f.views = append(f.views, NewView(testMember(i, 1)))
		f.made = append(f.made, f.views[i].Self())
	}
	return f
}

// forward runs a change of a view and checks that no VM's record goes back.
func forward(v *View, change func()) error {
	before := v.Members()
	change()
	for _, b := range before {
		if m, ok := v.Member(b.Vm); !ok || Newer(b, m) {
			return errors.Newf("record of %s went back: %v to %v", b.Vm, b, m)
		}
	}
	return nil
}

func (f *fleet) apply(v *View, records []*linkpb.Member) (changed []*linkpb.Member, err error) {
	err = forward(v, func() { changed = v.Apply(f.now, records) })
	f.made = append(f.made, changed...)
	return changed, err
}

// all returns the running processes and the replaced ones.
func (f *fleet) all() []*View { return append(append([]*View{}, f.old...), f.views...) }

func (f *fleet) step(r *rand.Rand) error {
	f.now = f.now.Add(time.Duration(r.Intn(5000)-1000) * time.Millisecond) // wall clocks go back
	at := r.Intn(fleetSize)
	v := f.views[at]
	switch r.Intn(9) {
	case 0:
		f.made = append(f.made, v.SetState(f.now, linkpb.MemberState(r.Intn(2))))
	case 1:
		f.made = append(f.made, v.SetSlots(f.now, uint32(r.Intn(100))))
	case 2:
		f.made = append(f.made, v.Renew(f.now))
	case 3: // a restart; the old process goes on for a while
		f.old = append(f.old, v)
		f.views[at] = NewView(testMember(at, v.Self().Incarnation+1))
		f.made = append(f.made, f.views[at].Self())
	case 4: // somebody concludes a lapse
		m := proto.Clone(v.Members()[r.Intn(len(v.Members()))]).(*linkpb.Member)
		m.State = linkpb.MemberState_MEMBER_STATE_LAPSED
		m.Sequence++
		f.made = append(f.made, m)
		_, err := f.apply(v, []*linkpb.Member{m})
		return err
	case 5: // the cut moves
		f.side[at] = r.Intn(2)
	case 6: // an old process makes records too
		if len(f.old) > 0 {
			v := f.old[r.Intn(len(f.old))]
			return forward(v, func() { f.made = append(f.made, v.SetSlots(f.now, 1)) })
		}
	default: // a message, from any time, to one side of the cut
		m := f.made[r.Intn(len(f.made))]
		all := f.all()
		to := all[r.Intn(len(all))]
		for range 1 + r.Intn(2) {
			if _, err := f.apply(to, []*linkpb.Member{m}); err != nil {
				return err
			}
		}
		if other := r.Intn(fleetSize); f.side[other] == f.side[at] {
			_, err := f.apply(f.views[other], v.Members())
			return err
		}
	}
	return nil
}

// heal exchanges whole lists between neighbours on a ring until nothing
// changes for as many rounds as a renewal, which is no news, takes to go round.
func (f *fleet) heal() error {
	all := f.all()
	quiet := 0
	for round := 0; quiet <= len(all); round++ {
		quiet++
		for i, v := range all {
			changed, err := f.apply(v, all[(i+1)%len(all)].Members())
			if err != nil {
				return err
			}
			if len(changed) > 0 {
				quiet = 0
			}
		}
		if round > 5*len(all) {
			return errors.New("no rest after many rounds")
		}
	}
	return nil
}

func (f *fleet) check() error {
	digest, count := f.views[0].Digest()
	for _, v := range f.all() {
		if d, c := v.Digest(); d != digest || c != count {
			return errors.Newf("%s: digest %x of %d, want %x of %d", v.Self().Vm, d, c, digest, count)
		}
		for _, running := range f.views {
			m, ok := v.Member(running.Self().Vm)
			if own := running.Self(); !ok || m.Incarnation != own.Incarnation || m.Sequence != own.Sequence || m.State != own.State {
				return errors.Newf("%s has %v, the VM itself %v", v.Self().Vm, m, running.Self())
			}
		}
	}
	for _, v := range f.old {
		if !v.Superseded() {
			return errors.Newf("old process of %s is not superseded", v.Self().Vm)
		}
	}
	for _, v := range f.views {
		if v.Superseded() || !IsLive(v.Self()) {
			return errors.Newf("running process %v superseded or not live", v.Self())
		}
	}
	return nil
}

func properties(seed int64, tests int) *gopter.Properties {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(seed)
	parameters.MinSuccessfulTests = tests
	return gopter.NewProperties(parameters)
}

// Records in any order, repeated, lost, delayed across restarts and cuts, with
// processes that were replaced and go on: after a last exchange all views are
// the same, each VM's record is its running process's own, and replaced
// processes know it.
func TestViewsConverge(t *testing.T) {
	p := properties(7, 3000)
	p.Property("views converge", prop.ForAll(func(seed int64, steps int) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		f := newFleet()
		for range steps {
			if err := f.step(r); err != nil {
				return false, err
			}
		}
		if err := f.heal(); err != nil {
			return false, err
		}
		err := f.check()
		return err == nil, err
	}, gen.Int64(), gen.IntRange(0, 60)))
	p.TestingRun(t)
}

func TestViewDetails(t *testing.T) {
	v := NewView(testMember(0, 5))
	version := v.Version()
	digest, _ := v.Digest()
	v.Renew(start.Add(time.Minute))
	if d, _ := v.Digest(); d != digest || v.Version() != version {
		t.Error("a renewal counts as a change")
	}
	v.SetSlots(start, 9)
	if d, _ := v.Digest(); d == digest || v.Version() == version {
		t.Error("new slots don't count as a change")
	}
	renewed := testMember(1, 1)
	if got := v.Apply(start, []*linkpb.Member{renewed, renewed, {Vm: "x"}, nil}); len(got) != 1 {
		t.Errorf("changed %v, want one record once", got)
	}
	later := proto.Clone(renewed).(*linkpb.Member)
	later.RenewedUnixMs++
	if got := v.Apply(start, []*linkpb.Member{later}); len(got) != 0 {
		t.Errorf("a renewal is passed on: %v", got)
	}
	if m, _ := v.Member(later.Vm); m != later {
		t.Error("a renewal is not kept")
	}
	foreign := testMember(0, 5)
	foreign.Sequence, foreign.RenewedUnixMs = 99, start.Add(time.Hour).UnixMilli()
	if got := v.Apply(start, []*linkpb.Member{foreign}); len(got) != 1 || !Newer(got[0], foreign) {
		t.Errorf("a foreign record of this VM is answered by %v", got)
	}
	lapsed := proto.Clone(renewed).(*linkpb.Member)
	lapsed.State, lapsed.Sequence = linkpb.MemberState_MEMBER_STATE_LAPSED, renewed.Sequence+1
	if got := v.Apply(start, []*linkpb.Member{lapsed}); len(got) != 0 {
		t.Errorf("a lapse from before the last renewal is taken: %v", got)
	}
	lapsed.RenewedUnixMs = later.RenewedUnixMs
	again := proto.Clone(later).(*linkpb.Member)
	again.RenewedUnixMs++
	for _, m := range []*linkpb.Member{lapsed, again} {
		if got := v.Apply(start, []*linkpb.Member{m}); len(got) != 1 {
			t.Errorf("%v is no news", m)
		}
	}
	later = again
	list := v.Members()
	gone := testMember(1, 2)
	gone.State = linkpb.MemberState_MEMBER_STATE_LEFT
	v.Apply(start, []*linkpb.Member{gone})
	if len(list) != 2 || list[1] != later {
		t.Error("a list that was handed out changed")
	}
	if n := v.PruneTombstones(start.Add(TombstoneRetention)); n != 0 {
		t.Error("tombstone forgotten early")
	}
	late := start.Add(TombstoneRetention + time.Second)
	if n := v.PruneTombstones(late); n != 1 || len(v.Apply(late, []*linkpb.Member{gone})) != 0 {
		t.Error("tombstone kept or taken again")
	}
	for i := range MaxMembers + 9 {
		v.Apply(start, []*linkpb.Member{testMember(1000+i, 1)})
	}
	if n := len(v.Members()); n != MaxMembers {
		t.Errorf("%d records, want at most %d", n, MaxMembers)
	}
}

func TestRecordCodec(t *testing.T) {
	m := testMember(3, 9)
	value, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(Key(m.Vm), value); err != nil || !proto.Equal(got, m) {
		t.Errorf("%v, %v", got, err)
	}
	with := func(change func(*linkpb.Member)) []byte {
		m := proto.Clone(m).(*linkpb.Member)
		change(m)
		value, _ := Encode(m)
		return value
	}
	for name, value := range map[string][]byte{
		"garbage": []byte("\xff"), "empty": nil,
		"other VM":       with(func(m *linkpb.Member) { m.Vm = "x" }),
		"no service":     with(func(m *linkpb.Member) { m.Service = "" }),
		"no incarnation": with(func(m *linkpb.Member) { m.Incarnation = 0 }),
		"long name":      with(func(m *linkpb.Member) { m.Region = string(make([]byte, 65)) }),
		"state":          with(func(m *linkpb.Member) { m.State = 9 }),
	} {
		if _, err := Decode(Key(m.Vm), value); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
