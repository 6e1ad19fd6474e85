package node

import (
	"fmt"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/datacentre/routing"
)

// The size of the expected deployment, and the control traffic that a node may
// spend there.
const (
	fullVMs          = 600
	fullServices     = 89
	fullDatacentres  = 4
	controlBudget    = 19_000 // bytes a second, both directions
	heartbeatRound   = 1150 * time.Millisecond
	bytesOfHeartbeat = 2 * (70 + 118) // a heartbeat and its echo, with framing
)

// Guards against a choice of links whose heartbeats exceed a node's control
// traffic budget at the expected size when every link is idle at the same time.
func TestIdleLinkHeartbeatsFitTheControlBudget(t *testing.T) {
	var members []*linkpb.Member
	for i := range fullVMs {
		dc := i % fullDatacentres
		members = append(members, &linkpb.Member{
			Vm:          fmt.Sprintf("vm-%03d", i),
			Service:     serviceName(i % fullServices),
			Region:      fmt.Sprintf("region%d", dc/2),
			Datacentre:  fmt.Sprintf("dc%d", dc),
			Address:     fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			Incarnation: 1,
			Slots:       30,
		})
	}
	dialled, accepted := make(map[string]int), make(map[string]int)
	for i, self := range members {
		for _, to := range wantedAtFullSize(self, i%fullServices, members) {
			dialled[self.Vm]++
			accepted[to]++
		}
	}
	worst, total := 0.0, 0.0
	for _, m := range members {
		links := float64(dialled[m.Vm] + accepted[m.Vm])
		rate := links * bytesOfHeartbeat / heartbeatRound.Seconds()
		worst, total = max(worst, rate), total+rate
	}
	t.Logf("control at rest, B/s a node: mean %.0f, worst %.0f", total/fullVMs, worst)
	if worst > controlBudget {
		t.Errorf("worst node spends %.0f B/s on control, want at most %d", worst, controlBudget)
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// wantedAtFullSize returns the VMs that a node holds links to, by the rules of
// control.
func wantedAtFullSize(self *linkpb.Member, service int, members []*linkpb.Member) []string {
	now := time.Unix(0, 0)
	wanted := make(map[string]bool)
	for _, m := range membership.Neighbours(self, members) {
		wanted[m.Vm] = true
	}
	r := routing.New(routing.DefaultConfig(self.Vm, self.Datacentre, self.Region))
	r.SetTargets(now, targetsOf(members))
	called := []string{serviceName((service + 1) % fullServices), serviceName((service + 2) % fullServices), serviceName((service + 3) % fullServices)}
	for _, target := range r.LinkTargets(now, called) {
		wanted[target.VM] = true
	}
	list := make([]string, 0, len(wanted))
	for vm := range wanted {
		list = append(list, vm)
	}
	return list
}
