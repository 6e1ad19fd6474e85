package node

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/datacentre/routing"
	"heathershed/internal/link"
	"heathershed/internal/timeline"
)

const (
	// suspectAfter is how long a link that this node dialled must be lost
	// before the VM at the other end is marked lapsed. A live VM refutes that
	// record as soon as it receives it.
	suspectAfter = 2 * time.Second
	// probeEvery is the interval at which a new set of lapsed VMs is chosen to
	// be dialled, and maxProbes the size of that set.
	probeEvery = 5 * time.Second
	maxProbes  = 2
	// seedPrefix starts the name of a link to a configured peer address whose
	// VM is not known yet.
	seedPrefix = "seed:"
)

// membersChanged publishes the member list and applies it to its dependants.
func (c *control) membersChanged(now time.Time) {
	c.publish()
	c.bootstrap.SetPeers(c.othersInDatacentre())
	c.n.router.SetTargets(now, targetsOf(c.view.Members()))
	current, _ := c.n.catalogue.Current()
	c.n.quota.SetKinds(current.Kinds(), c.targetsOfService())
	c.updateLinkTargets(now)
}

// updateWatcherRole decides whether this node watches the store for its data
// centre.
func (c *control) updateWatcherRole(now time.Time) {
	self := c.view.Self()
	c.watcher.Store(membership.IsWatcher(now, self, c.view.Members(), membership.WatchersPerDatacentre,
		func(vm string) time.Time { return c.lastContact[vm] }))
}

func (c *control) othersInDatacentre() int {
	count := 0
	for _, m := range c.view.Members() {
		if m.Datacentre == c.n.cfg.Datacentre && m.Vm != c.n.cfg.VM && membership.IsLive(m) {
			count++
		}
	}
	return count
}

// targetsOf returns the upstreams that calls may be sent to.
func targetsOf(members []*linkpb.Member) []routing.Target {
	targets := make([]routing.Target, 0, len(members))
	for _, m := range members {
		if !membership.IsLive(m) {
			continue
		}
		targets = append(targets, routing.Target{
			VM:          m.Vm,
			Service:     m.Service,
			Datacentre:  m.Datacentre,
			Region:      m.Region,
			Address:     m.Address,
			Incarnation: m.Incarnation,
			Slots:       int(m.Slots),
			Leaving:     m.State == linkpb.MemberState_MEMBER_STATE_LEAVING,
		})
	}
	return targets
}

// updateLinkTargets requests links to the neighbours, to the chosen upstreams
// of the called services, to VMs requested by name and to probed VMs.
func (c *control) updateLinkTargets(now time.Time) {
	wanted := make(map[string]link.Target)
	add := func(m *linkpb.Member) {
		if m.Vm != c.n.cfg.VM && membership.IsLive(m) {
			wanted[m.Vm] = link.Target{VM: m.Vm, Incarnation: m.Incarnation, Address: m.Address}
		}
	}
	for _, m := range membership.Neighbours(c.view.Self(), c.view.Members()) {
		add(m)
	}
	services := append(c.n.demand.services(), c.n.cfg.Calls...)
	for _, t := range c.n.router.LinkTargets(now, services) {
		if t.VM != c.n.cfg.VM {
			wanted[t.VM] = link.Target{VM: t.VM, Incarnation: t.Incarnation, Address: t.Address}
		}
	}
	for _, vm := range c.n.demand.vms() {
		if m, ok := c.view.Member(vm); ok {
			add(m)
		}
	}
	for vm := range c.probes {
		if m, ok := c.view.Member(vm); ok {
			wanted[vm] = link.Target{VM: vm, Incarnation: m.Incarnation, Address: m.Address}
		}
	}
	c.addSeedTargets(wanted)
	targets := make([]link.Target, 0, len(wanted))
	for _, t := range wanted {
		targets = append(targets, t)
	}
	c.n.links.SetTargets(targets)
}

// addSeedTargets adds the configured peer addresses if there is no other
// target.
func (c *control) addSeedTargets(wanted map[string]link.Target) {
	if len(wanted) > 0 {
		return
	}
	for _, address := range c.n.cfg.Peers {
		if address == c.n.cfg.Link {
			continue
		}
		vm := seedPrefix + address
		wanted[vm] = link.Target{VM: vm, Address: address}
	}
}

// markLapsed marks VMs lapsed whose links stay lost. A node with fewer than
// half of its links up marks none: it is more likely isolated itself.
func (c *control) markLapsed(now time.Time) {
	wanted, up := c.n.links.Counts()
	if 2*up < wanted {
		return
	}
	for vm, since := range c.lost {
		if now.Sub(since) < suspectAfter {
			continue
		}
		delete(c.lost, vm)
		m, ok := c.view.Member(vm)
		unreachable := c.n.links.HasTarget(vm) && !c.n.links.Up(vm) && c.sessionTo(vm) == nil
		if !ok || !membership.IsLive(m) || !unreachable {
			continue
		}
		lapsed := proto.Clone(m).(*linkpb.Member)
		lapsed.State = linkpb.MemberState_MEMBER_STATE_LAPSED
		lapsed.Sequence++
		c.mergeMembers(now, []*linkpb.Member{lapsed}, nil)
	}
}

// probeLapsed keeps dialling a few lapsed VMs. After a partition between data
// centres or regions each side has marked the other lapsed, and only a new link
// lets the two sides exchange member records again.
func (c *control) probeLapsed(now time.Time) {
	if now.Sub(c.lastProbe) < probeEvery {
		return
	}
	c.lastProbe = now
	var lapsed []string
	for _, m := range c.view.Members() {
		if m.State == linkpb.MemberState_MEMBER_STATE_LAPSED {
			lapsed = append(lapsed, m.Vm)
		}
	}
	if len(lapsed) == 0 && len(c.probes) == 0 {
		return
	}
	rand.Shuffle(len(lapsed), func(i, j int) { lapsed[i], lapsed[j] = lapsed[j], lapsed[i] })
	c.probes = make(map[string]bool, maxProbes)
	for _, vm := range lapsed[:min(maxProbes, len(lapsed))] {
		c.probes[vm] = true
	}
	c.updateLinkTargets(now)
}

// expireLeases marks members with expired leases lapsed. Only watchers do this.
func (c *control) expireLeases(now time.Time) {
	lapsed := c.view.ExpireLeases(now, c.n.tracked.availableSince(), membership.LeaseTTL)
	if len(lapsed) == 0 {
		return
	}
	for _, m := range lapsed {
		c.gossipQueue.add(m)
	}
}

// supersede stops taking requests because a newer process has this VM's name.
func (n *Node) supersede() {
	if n.state.Swap(phaseSuperseded) != phaseSuperseded {
		n.log.Error("another process has this VM's name; taking no more work", "vm", n.cfg.VM)
	}
}

func (n *Node) recordMember(m *linkpb.Member) {
	n.record(timeline.Event{
		Kind:    timeline.KindMember,
		Peer:    m.Vm,
		Service: m.Service,
		Detail:  membership.StateName(m.State),
	})
}
