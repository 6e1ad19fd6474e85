package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures decisions on 1,000 workspaces at a node that holds tokens, at
// one that has been denied them, and at the owner, in a fleet of 600 nodes.
func BenchmarkAdmit(b *testing.B) {
	const nodes, workspaces = 600, 1000
	now := time.Unix(1000, 0)
	n := NewNode("vm-0", testConfig, now)
	var all []Workspace
	for i := range workspaces {
		all = append(all, Workspace{fmt.Sprint("w-", i), Limit{1000, 100}})
	}
	n.SetWorkspaces(now, all)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("vm-", i))
	}
	n.SetMembers(now, names, now)
	n.SetLinked(now, func(string) bool { return true })
	b.Run("held", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			w := all[i%workspaces].Name
			n.accounts[w].held[0] = heldTokens{10, now.Add(time.Hour)}
			if n.Admit(now, w, false).Verdict != Admitted {
				b.Fatal("not admitted")
			}
		}
	})
	b.Run("denied", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			a := n.accounts[all[i%workspaces].Name]
			a.held, a.denied = [heldLots]heldTokens{}, now.Add(time.Hour)
			if n.Admit(now, a.name, false).Verdict != Rejected {
				b.Fatal("not rejected")
			}
		}
	})
	b.Run("asked", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			now = now.Add(100 * time.Microsecond)
			n.HandleAsk(now, names[i%nodes], Ask{Workspace: all[i%workspaces].Name, Needed: 1})
		}
	})
	b.Run("delegation", func(b *testing.B) {
		d := testDelegation(n, time.Minute, nodes)
		for i := range b.N {
			now = now.Add(time.Microsecond)
			n.HandleDelegation(now, names[i%nodes], d, 0)
		}
	})
}
