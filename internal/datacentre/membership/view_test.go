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

// cluster is a set of processes that exchange records, with every record ever
// created.
type cluster struct {
	now     time.Time
	views   []*View // of the running processes, by VM
	old     []*View // of processes that a restart replaced but that still run
	created []*linkpb.Member
	side    []int // of the network partition, by VM
}

const clusterSize = 6

func newCluster() *cluster {
	c := &cluster{now: start, side: make([]int, clusterSize)}
	for i := range clusterSize {
		c.views = append(c.views, NewView(testMember(i, 1)))
		c.created = append(c.created, c.views[i].Self())
	}
	return c
}

// checkMonotonic runs a change of a view and returns an error if the record of a
// VM is replaced by an older one.
func checkMonotonic(v *View, change func()) error {
	before := v.Members()
	change()
	for _, b := range before {
		if m, ok := v.Member(b.Vm); !ok || Newer(b, m) {
			return errors.Newf("record of %s replaced by an older one: %v by %v", b.Vm, b, m)
		}
	}
	return nil
}

func (c *cluster) apply(v *View, records []*linkpb.Member) (changed []*linkpb.Member, err error) {
	err = checkMonotonic(v, func() { changed = v.Apply(c.now, records) })
	c.created = append(c.created, changed...)
	return changed, err
}

// all returns the running processes and the replaced ones.
func (c *cluster) all() []*View { return append(append([]*View{}, c.old...), c.views...) }

func (c *cluster) step(r *rand.Rand) error {
	c.now = c.now.Add(time.Duration(r.Intn(5000)-1000) * time.Millisecond) // wall clocks go back
	at := r.Intn(clusterSize)
	v := c.views[at]
	switch r.Intn(9) {
	case 0:
		c.created = append(c.created, v.SetState(c.now, linkpb.MemberState(r.Intn(2))))
	case 1:
		c.created = append(c.created, v.SetSlots(c.now, uint32(r.Intn(100))))
	case 2:
		c.created = append(c.created, v.Renew(c.now))
	case 3: // a restart; the old process still runs for a while
		c.old = append(c.old, v)
		c.views[at] = NewView(testMember(at, v.Self().Incarnation+1))
		c.created = append(c.created, c.views[at].Self())
	case 4: // a node declares the lease expired
		m := proto.Clone(v.Members()[r.Intn(len(v.Members()))]).(*linkpb.Member)
		m.State = linkpb.MemberState_MEMBER_STATE_LAPSED
		m.Sequence++
		c.created = append(c.created, m)
		_, err := c.apply(v, []*linkpb.Member{m})
		return err
	case 5: // the partition changes
		c.side[at] = r.Intn(2)
	case 6: // a replaced process also creates records
		if len(c.old) > 0 {
			v := c.old[r.Intn(len(c.old))]
			return checkMonotonic(v, func() { c.created = append(c.created, v.SetSlots(c.now, 1)) })
		}
	default: // a record from any time, to one side of the partition
		m := c.created[r.Intn(len(c.created))]
		all := c.all()
		to := all[r.Intn(len(all))]
		for range 1 + r.Intn(2) {
			if _, err := c.apply(to, []*linkpb.Member{m}); err != nil {
				return err
			}
		}
		if other := r.Intn(clusterSize); c.side[other] == c.side[at] {
			_, err := c.apply(c.views[other], v.Members())
			return err
		}
	}
	return nil
}

// heal exchanges full lists between neighbours on a ring until nothing changes
// for as many rounds as a renewal, which is not reported as a change, needs to
// reach all.
func (c *cluster) heal() error {
	all := c.all()
	unchanged := 0
	for round := 0; unchanged <= len(all); round++ {
		unchanged++
		for i, v := range all {
			changed, err := c.apply(v, all[(i+1)%len(all)].Members())
			if err != nil {
				return err
			}
			if len(changed) > 0 {
				unchanged = 0
			}
		}
		if round > 5*len(all) {
			return errors.New("views did not converge within 5 rounds for each process")
		}
	}
	return nil
}

func (c *cluster) check() error {
	digest, count := c.views[0].Digest()
	for _, v := range c.all() {
		if d, n := v.Digest(); d != digest || n != count {
			return errors.Newf("%s: digest %x of %d, want %x of %d", v.Self().Vm, d, n, digest, count)
		}
		for _, running := range c.views {
			m, ok := v.Member(running.Self().Vm)
			if own := running.Self(); !ok || m.Incarnation != own.Incarnation || m.Sequence != own.Sequence || m.State != own.State {
				return errors.Newf("%s has %v, want the VM's own record %v", v.Self().Vm, m, running.Self())
			}
		}
	}
	for _, v := range c.old {
		if !v.Superseded() {
			return errors.Newf("replaced process of %s does not know that it is superseded", v.Self().Vm)
		}
	}
	for _, v := range c.views {
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

// Records arrive in any order, repeatedly, late or never, across restarts and
// partitions, and replaced processes still run. After a final exchange all views
// must be the same, the record of each VM must be that of its running process,
// and replaced processes must know that they are superseded.
func TestViewsConverge(t *testing.T) {
	p := properties(7, 3000)
	p.Property("views converge", prop.ForAll(func(seed int64, steps int) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		c := newCluster()
		for range steps {
			if err := c.step(r); err != nil {
				return false, err
			}
		}
		if err := c.heal(); err != nil {
			return false, err
		}
		err := c.check()
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
		t.Error("a renewal changed the digest or the version")
	}
	v.SetSlots(start, 9)
	if d, _ := v.Digest(); d == digest || v.Version() == version {
		t.Error("new slots did not change the digest and the version")
	}
	renewed := testMember(1, 1)
	if got := v.Apply(start, []*linkpb.Member{renewed, renewed, {Vm: "x"}, nil}); len(got) != 1 {
		t.Errorf("Apply returned %v, want one record", got)
	}
	later := proto.Clone(renewed).(*linkpb.Member)
	later.RenewedUnixMs++
	if got := v.Apply(start, []*linkpb.Member{later}); len(got) != 0 {
		t.Errorf("a renewal is forwarded: %v", got)
	}
	if m, _ := v.Member(later.Vm); m != later {
		t.Error("a renewal is not stored")
	}
	foreign := testMember(0, 5)
	foreign.Sequence, foreign.RenewedUnixMs = 99, start.Add(time.Hour).UnixMilli()
	if got := v.Apply(start, []*linkpb.Member{foreign}); len(got) != 1 || !Newer(got[0], foreign) {
		t.Errorf("a foreign record of this VM is refuted by %v, want one newer record", got)
	}
	expired := proto.Clone(renewed).(*linkpb.Member)
	expired.State, expired.Sequence = linkpb.MemberState_MEMBER_STATE_LAPSED, renewed.Sequence+1
	if got := v.Apply(start, []*linkpb.Member{expired}); len(got) != 0 {
		t.Errorf("an expiry from before the last renewal is applied: %v", got)
	}
	expired.RenewedUnixMs = later.RenewedUnixMs
	again := proto.Clone(later).(*linkpb.Member)
	again.RenewedUnixMs++
	for _, m := range []*linkpb.Member{expired, again} {
		if got := v.Apply(start, []*linkpb.Member{m}); len(got) != 1 {
			t.Errorf("%v is not forwarded", m)
		}
	}
	later = again
	list := v.Members()
	gone := testMember(1, 2)
	gone.State = linkpb.MemberState_MEMBER_STATE_LEFT
	v.Apply(start, []*linkpb.Member{gone})
	if len(list) != 2 || list[1] != later {
		t.Error("a list that was returned before has changed")
	}
	if n := v.PruneTombstones(start.Add(TombstoneRetention)); n != 0 {
		t.Error("tombstone removed before TombstoneRetention")
	}
	late := start.Add(TombstoneRetention + time.Second)
	if n := v.PruneTombstones(late); n != 1 || len(v.Apply(late, []*linkpb.Member{gone})) != 0 {
		t.Error("tombstone kept after TombstoneRetention, or added again")
	}
	for i := range MaxMembers + 9 {
		v.Apply(start, []*linkpb.Member{testMember(1000+i, 1)})
	}
	if n := len(v.Members()); n != MaxMembers {
		t.Errorf("got %d records, want %d", n, MaxMembers)
	}
}

func TestRecordCodec(t *testing.T) {
	m := testMember(3, 9)
	value, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(Key(m.Vm), value); err != nil || !proto.Equal(got, m) {
		t.Errorf("Decode: got %v, %v", got, err)
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
			t.Errorf("%s: Decode succeeded, want an error", name)
		}
	}
}
