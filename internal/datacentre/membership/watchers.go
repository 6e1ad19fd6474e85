package membership

import (
	"time"

	linkpb "heathershed/api/link"
)

// The watchers of the store.
const (
	// WatchersPerDatacentre is the number of VMs of each data centre that watch
	// the store on behalf of the others.
	WatchersPerDatacentre = 2
	// NumBackups is the number of VMs that replace unresponsive watchers.
	NumBackups = 3
	// WatcherTimeout is the time without a heartbeat after which a watcher
	// counts as unresponsive.
	WatcherTimeout = 5 * time.Second
)

// Watchers returns the first n VMs that are up in a data centre by rendezvous
// hashing: the loss of a VM reassigns only its own role, and all nodes with the
// same members agree.
func Watchers(datacentre string, members []*linkpb.Member, n int) []string {
	list := rendezvous("watch/"+datacentre, n, members, func(m *linkpb.Member) bool {
		return m.Datacentre == datacentre
	})
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Vm
	}
	return names
}

// IsWatcher reports whether a node is currently a watcher of its data centre.
// The first n VMs by rendezvous hashing are. Each of the NumBackups VMs after
// them takes over while fewer than n of the VMs before it were in contact
// within WatcherTimeout. lastContact returns the time at which a message of a VM
// last arrived on a link, or the zero time. Two nodes may hold the role at the
// same time, at the cost of one more waiting call to the store.
func IsWatcher(now time.Time, self *linkpb.Member, members []*linkpb.Member, n int, lastContact func(vm string) time.Time) bool {
	before := 0
	for _, vm := range Watchers(self.Datacentre, members, n+NumBackups) {
		if vm == self.Vm {
			return before < n
		}
		if now.Sub(lastContact(vm)) < WatcherTimeout {
			before++
		}
	}
	return false
}

// watcherLinks returns the VMs that a watcher or backup needs links to in order
// to determine its role: those before it in the order of the watchers.
func watcherLinks(self *linkpb.Member, members []*linkpb.Member) []*linkpb.Member {
	list := rendezvous("watch/"+self.Datacentre, WatchersPerDatacentre+NumBackups, members, func(m *linkpb.Member) bool {
		return m.Datacentre == self.Datacentre
	})
	for i, m := range list {
		if m.Vm == self.Vm {
			return list[:i]
		}
	}
	return nil
}
