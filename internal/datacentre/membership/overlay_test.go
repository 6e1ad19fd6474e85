package membership

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

func testMembers(n int) []*linkpb.Member {
	members := make([]*linkpb.Member, n)
	for i := range members {
		members[i] = testMember(i, 1)
	}
	return members
}

// overlay is the graph of control links between the members.
type overlay struct {
	links   map[string][]string
	chosen  int // largest number of links chosen by one node
	members []*linkpb.Member
}

func newOverlay(members []*linkpb.Member) *overlay {
	o := &overlay{links: make(map[string][]string), members: members}
	for _, m := range members {
		neighbours := Neighbours(m, members)
		o.chosen = max(o.chosen, len(neighbours))
		for _, n := range neighbours {
			o.link(m.Vm, n.Vm)
			o.link(n.Vm, m.Vm)
		}
	}
	return o
}

func (o *overlay) link(a, b string) {
	if !slices.Contains(o.links[a], b) {
		o.links[a] = append(o.links[a], b)
	}
}

func (o *overlay) degrees() (mean float64, most int) {
	sum := 0
	for _, links := range o.links {
		sum += len(links)
		most = max(most, len(links))
	}
	return float64(sum) / float64(len(o.members)), most
}

// hops returns the number of hops from one VM to all that it reaches over VMs
// that are up, and the number of VMs reached.
func (o *overlay) hops(from string, up func(string) bool) (hops, reached int) {
	seen := map[string]bool{from: true}
	frontier := []string{from}
	for len(frontier) > 0 {
		var next []string
		for _, vm := range frontier {
			for _, n := range o.links[vm] {
				if !seen[n] && up(n) {
					seen[n] = true
					next = append(next, n)
				}
			}
		}
		if len(next) > 0 {
			hops++
		}
		frontier = next
	}
	return hops, len(seen)
}

func (o *overlay) diameter(up func(string) bool) (most, missed int) {
	live := 0
	for _, m := range o.members {
		if up(m.Vm) {
			live++
		}
	}
	for _, m := range o.members {
		if !up(m.Vm) {
			continue
		}
		hops, reached := o.hops(m.Vm, up)
		most, missed = max(most, hops), max(missed, live-reached)
	}
	return most, missed
}

// Gossip must reach all VMs in few hops: without failures, with a quarter of the
// VMs or a data centre lost and not yet replaced, and on each side of a
// partition between regions.
func TestOverlay(t *testing.T) {
	members := testMembers(600)
	o := newOverlay(members)
	index := make(map[string]*linkpb.Member)
	for _, m := range members {
		index[m.Vm] = m
	}
	r := rand.New(rand.NewSource(3))
	failed := make(map[string]bool)
	for _, i := range r.Perm(600)[:150] {
		failed[members[i].Vm] = true
	}
	for name, up := range map[string]func(string) bool{
		"no failures":         func(string) bool { return true },
		"a quarter lost":      func(vm string) bool { return !failed[vm] },
		"a data centre lost":  func(vm string) bool { return index[vm].Datacentre != "dc-0-1" },
		"partition, region 0": func(vm string) bool { return index[vm].Region == "region-0" },
		"partition, region 1": func(vm string) bool { return index[vm].Region == "region-1" },
	} {
		if hops, missed := o.diameter(up); hops > 8 || missed > 0 {
			t.Errorf("%s: %d hops, %d VMs not reached; want at most 8 hops and all VMs", name, hops, missed)
		}
	}
	if o.chosen > 16 {
		t.Errorf("a node chose %d links, want at most 16", o.chosen)
	}
	shuffled := slices.Clone(members)
	r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for _, m := range members {
		if !slices.Equal(Neighbours(m, members), Neighbours(m, shuffled)) {
			t.Fatalf("%s: Neighbours depends on the order of members", m.Vm)
		}
	}
}

// A data centre must have its watchers whichever of the first VMs are
// unresponsive, and each change of the members must reassign at most one role.
func TestWatchers(t *testing.T) {
	members := testMembers(600)
	const datacentre = "dc-1-2"
	first := Watchers(datacentre, members, WatchersPerDatacentre+NumBackups)
	now := start.Add(time.Hour)
	for mask := range 1 << len(first) {
		unresponsive := func(vm string) bool {
			i := slices.Index(first, vm)
			return i >= 0 && mask>>i&1 == 1
		}
		lastContact := func(vm string) time.Time {
			if unresponsive(vm) {
				return now.Add(-WatcherTimeout)
			}
			return now.Add(-WatcherTimeout + 1)
		}
		watching, missing := 0, 0
		for _, m := range members {
			if unresponsive(m.Vm) {
				missing++
			} else if IsWatcher(now, m, members, WatchersPerDatacentre, lastContact) && m.Datacentre == datacentre {
				watching++
			}
		}
		if want := min(WatchersPerDatacentre, len(first)-missing); watching != want {
			t.Errorf("unresponsive %05b: got %d watchers, want %d", mask, watching, want)
		}
	}
	for i, m := range members {
		changed := slices.Clone(members)
		changed[i] = proto.Clone(m).(*linkpb.Member)
		changed[i].State = linkpb.MemberState_MEMBER_STATE_LEAVING
		after := Watchers(datacentre, changed, WatchersPerDatacentre)
		kept := 0
		for _, vm := range after {
			if slices.Contains(first[:WatchersPerDatacentre], vm) {
				kept++
			}
		}
		if kept < WatchersPerDatacentre-1 || slices.Contains(after, m.Vm) {
			t.Errorf("%s leaves: watchers %v, before %v", m.Vm, after, first[:2])
		}
	}
}

func BenchmarkNeighbours600(b *testing.B) {
	members := testMembers(600)
	b.ReportAllocs()
	for b.Loop() {
		Neighbours(members[7], members)
	}
	o := newOverlay(members)
	diameter, _ := o.diameter(func(string) bool { return true })
	mean, most := o.degrees()
	b.ReportMetric(float64(diameter), "hops")
	b.ReportMetric(mean, "links/node")
	b.ReportMetric(float64(most), "max-links")
	b.ReportMetric(float64(o.chosen), "max-chosen")
}

func BenchmarkApplyChange600(b *testing.B) {
	v := NewView(testMember(0, 1))
	v.Apply(start, testMembers(600))
	m := testMember(9, 1)
	b.ReportAllocs()
	for b.Loop() {
		m = proto.Clone(m).(*linkpb.Member)
		m.Sequence++
		v.Apply(start, []*linkpb.Member{m})
		v.Digest()
	}
}

func BenchmarkApplyFullList600(b *testing.B) {
	members := testMembers(600)
	v := NewView(members[0])
	v.Apply(start, members)
	bytes := 0
	for _, m := range members {
		bytes += proto.Size(m)
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Apply(start, members)
	}
	b.ReportMetric(float64(bytes)/600, "B/record")
}

func BenchmarkMembersAfterChange600(b *testing.B) {
	v := NewView(testMember(0, 1))
	v.Apply(start, testMembers(600))
	b.ReportAllocs()
	for b.Loop() {
		v.sorted = nil
		v.Members()
	}
}
