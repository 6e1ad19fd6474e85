package membership

import (
	"time"

	linkpb "heathershed/api/link"
)

// The watchers of the store.
const (
	// WatchersPerDatacentre is the number of VMs in each data centre that keep
	// waiting watches at the store.
	WatchersPerDatacentre = 2
	// NumBackups is the number of VMs that stand in for silent watchers.
	NumBackups = 3
	// WatcherTimeout is the time without a heartbeat after which a watcher
	// counts as silent.
	WatcherTimeout = 5 * time.Second
)

// Watchers returns the first n VMs that are up in a data centre, by
// rendezvous: a VM that goes moves only its own role, and all nodes with the
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

// IsWatcher reports whether a node holds the watches of its data centre now.
// The first n VMs by rendezvous do. The NumBackups after them take the role
// over where fewer than n of those before them were heard within
// WatcherTimeout, and give it back when they are heard again. heard returns
// when a VM was last heard on a link, or the zero time. Two nodes may hold the
// role at once; that costs a waiting call and nothing else.
func IsWatcher(now time.Time, self *linkpb.Member, members []*linkpb.Member, n int, heard func(vm string) time.Time) bool {
	before := 0
	for _, vm := range Watchers(self.Datacentre, members, n+NumBackups) {
		if vm == self.Vm {
			return before < n
		}
		if now.Sub(heard(vm)) < WatcherTimeout {
			before++
		}
	}
	return false
}

// watcherLinks returns the VMs that a watcher or backup must hear to know its
// role.
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
