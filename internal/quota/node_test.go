package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// start is the time at which the nodes of these tests start.
var start = time.Unix(1000, 0)

// testNode returns a node among count nodes, all linked, with workspace w.
func testNode(self string, count int, limit Limit) *Node {
	n := NewNode(self, testConfig, start)
	n.SetWorkspaces(start, []Workspace{{"w", limit}})
	n.SetMembers(start, testNames(count), start)
	n.SetLinked(start, func(string) bool { return true })
	return n
}

func testNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("vm-", i)
	}
	return names
}

// testDelegation returns a delegation by the coordinators of a node.
func testDelegation(n *Node, valid time.Duration, nodes int) Delegation {
	return Delegation{Valid: valid, Nodes: nodes, Lists: []ListID{listID(n.promises.list)}}
}

// ownerOf returns the name of the owner of workspace w as a node sees it.
func ownerOf(n *Node) string { return n.names[ownerIn(n.promises.list, IDOf("w"))] }

// pooled returns the tokens that a node may grant at a time.
func pooled(n *Node, now time.Time) int {
	g, _ := n.HandleAsk(now, "other", Ask{Workspace: "w", Needed: 1 << 20})
	return g.Granted
}

// Guards against an owner that creates tokens for a delegation after its end, also where
// its VM was suspended meanwhile, and against tokens that never expire.
func TestDelegationsAndPooledTokensEnd(t *testing.T) {
	self := ownerOf(testNode("vm-0", 10, Limit{100, 0}))
	for _, slept := range []time.Duration{2 * time.Second, time.Hour} {
		n := testNode(self, 10, Limit{100, 0})
		d := testDelegation(n, 500*time.Millisecond, 10)
		for _, vm := range testNames(10) {
			n.HandleDelegation(start, vm, d, 0)
		}
		at := start.Add(400 * time.Millisecond)
		if got := pooled(n, at); got < 30 || got > 40 {
			t.Errorf("0.4 s at 100 a second: got %d tokens, want about 35", got)
		}
		if got := pooled(n, at.Add(slept)); got > 5 {
			t.Errorf("%v later: got %d tokens, want those of at most 0.05 s", slept, got)
		}
	}
}

// Guards against an owner that loses a share before the promise has ended because the
// sender has other coordinators by now, and against one that keeps it after that.
func TestDelegationHoldsWhileCoordinatorsChange(t *testing.T) {
	self := ownerOf(testNode("vm-0", 10, Limit{1000, 0}))
	n := testNode(self, 10, Limit{1000, 0})
	d := testDelegation(n, time.Second, 1)
	n.HandleDelegation(start, "vm-3", d, 0)
	other := []ID{IDOf("elsewhere")}
	moved := Delegation{Valid: time.Second, Nodes: 1, Lists: []ListID{listID(other), d.Lists[0]}, Content: [][]ID{other}}
	at := start.Add(500 * time.Millisecond)
	n.HandleDelegation(at, "vm-3", moved, 0)
	pooled(n, at)
	if got := pooled(n, at.Add(100*time.Millisecond)); got < 90 {
		t.Errorf("0.1 s at 1,000 a second: got %d tokens, want about 100", got)
	}
	pooled(n, start.Add(time.Second))
	if got := pooled(n, start.Add(1100*time.Millisecond)); got > 0 {
		t.Errorf("after the promise has ended: got %d tokens, want none", got)
	}
}

// Guards against a delayed delegation that the owner uses after the promise has ended.
func TestDelayOfADelegationShortensIt(t *testing.T) {
	n := testNode(ownerOf(testNode("vm-0", 10, Limit{100, 0})), 10, Limit{100, 0})
	n.HandleDelegation(start, "vm-3", testDelegation(n, time.Second, 1), time.Second)
	if got := pooled(n, start.Add(time.Second)); got > 0 {
		t.Errorf("got %d tokens, want none", got)
	}
}

// Guards against a share that is delegated to two owners at once where the view of the
// coordinators changes, and against one that is never delegated again.
func TestShareIsDelegatedToOneOwner(t *testing.T) {
	n := testNode("vm-0", 10, Limit{100, 0})
	first := ownerOf(n)
	now := start.Add(n.valid())
	covered := func() []string {
		var owners []string
		for _, d := range n.Delegate(now) {
			r := newReceived(IDOf(d.To))
			lists, known := n.received.resolve(d.Delegation)
			if known && r.owns(&group{d.Delegation, lists, 1}, IDOf("w")) {
				owners = append(owners, d.To)
			}
		}
		return owners
	}
	if got := covered(); len(got) != 1 || got[0] != first {
		t.Fatalf("got owners %v, want %s", got, first)
	}
	now = now.Add(100 * time.Millisecond)
	n.SetLinked(now, func(vm string) bool { return vm != first })
	second := ownerOf(n)
	for end := now.Add(n.valid() - 200*time.Millisecond); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if got := covered(); len(got) > 0 {
			t.Fatalf("while the promise lasts: got owners %v, want none", got)
		}
	}
	now = now.Add(time.Second)
	if got := covered(); len(got) != 1 || got[0] != second {
		t.Errorf("after the end of the promise: got owners %v, want %s", got, second)
	}
}

// Guards against tokens that a node holds for ever, and against tokens of a higher limit
// that are spent after the limit was lowered.
func TestHeldTokensEnd(t *testing.T) {
	limit := Limit{100, 50}
	n := testNode("vm-0", 10, limit)
	if ownerOf(n) == "vm-0" {
		n = testNode("vm-1", 10, limit)
	}
	admitted := func(at time.Time) bool { return n.Admit(at, "w", true).Verdict == Admitted }
	grant := Grant{Workspace: "w", Granted: 2, Limit: limit}
	n.HandleGrant(start, grant)
	held := testConfig.terms(limit).held
	if !admitted(start.Add(held - time.Millisecond)) {
		t.Error("got no token before its end")
	}
	if admitted(start.Add(held)) {
		t.Error("got a token after its end")
	}
	at := start.Add(held)
	grant.Sent = held
	n.HandleGrant(at, grant)
	n.SetWorkspaces(at, []Workspace{{"w", Limit{100, 10}}})
	if admitted(at) {
		t.Error("got a token of the limit of before")
	}
	n.HandleGrant(at, grant)
	if admitted(at) {
		t.Error("got a token that an owner granted by the limit of before")
	}
}

// Guards against a limit that is divided among fewer nodes as soon as some are not known
// any more, and one that is divided among them for ever.
func TestForgottenNodesCountForAWhile(t *testing.T) {
	n := testNode("vm-0", 10, Limit{100, 0})
	for at, want := range map[time.Duration]int{retainFor - time.Second: 10, retainFor + time.Second: 1} {
		n := testNode("vm-0", 10, Limit{100, 0})
		n.SetMembers(start.Add(at), nil, start)
		if got := len(n.members); got != want {
			t.Errorf("%v later: got %d nodes, want %d", at, got, want)
		}
	}
	if got := len(n.members); got != 10 {
		t.Errorf("got %d nodes, want 10", got)
	}
}

// Guards against a node that delegates its share while a delegation of before its restart
// may last, or before it knows the other nodes.
func TestStartedNodeDelegatesLater(t *testing.T) {
	n := testNode("vm-0", 10, Limit{100, 0})
	if got := n.Delegate(start.Add(n.valid() - time.Millisecond)); len(got) > 0 {
		t.Errorf("before the end of earlier delegations: got %d, want none", len(got))
	}
	if got := n.Delegate(start.Add(n.valid())); len(got) < minCoordinators-1 {
		t.Errorf("after it: got %d delegations, want one to each coordinator", len(got))
	}
	n = testNode("vm-0", 10, Limit{100, 0})
	n.SetMembers(start, testNames(10), time.Time{})
	if got := n.Delegate(start.Add(time.Minute)); len(got) > 0 {
		t.Errorf("without the records: got %d delegations, want none", len(got))
	}
}

// Guards against a workspace whose limit is not reported as reached, or not as over.
func TestChangesOfTheLimitAreReportedOnce(t *testing.T) {
	n := testNode("vm-0", 10, Limit{100, 0})
	at := start.Add(time.Minute)
	for range 3 {
		n.Expired(at, "w")
	}
	if got := n.Changes(at); len(got) != 1 || !got[0].Limited {
		t.Errorf("got %v, want that w is limited", got)
	}
	if got := n.Changes(at); len(got) > 0 {
		t.Errorf("again: got %v, want nothing", got)
	}
	got := n.Changes(at.Add(testConfig.Window + time.Second))
	if len(got) != 1 || got[0].Limited || got[0].Rejected != 3 {
		t.Errorf("a window later: got %v, want that w is not limited after 3 rejections", got)
	}
}

// Guards against nodes that all reject for seconds after they have lost power together,
// and against one that does not wait although a coordinator may hold its delegation.
func TestNodesThatStartTogetherDelegateAtOnce(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	all := func(string) bool { return true }
	without := func(missing string) func(string) bool {
		return func(vm string) bool { return !strings.Contains(missing, vm) }
	}
	cases := []struct {
		name             string
		linked, together func(vm string) bool
		want             bool
	}{
		{"all started together", all, all, true},
		{"one was there before", all, without("b"), false},
		{"two are gone", without("bc"), without("bc"), true},
		{"three are out of reach", without("bcd"), without("bcd"), false},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		n := NewNode("a", Config{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, now)
		n.SetWorkspaces(now, []Workspace{{Name: "w", Limit: Limit{Rate: 10, Burst: 10}}})
		now = now.Add(100 * time.Millisecond)
		if n.SetStartedTogether(now, c.together); n.waited(now) {
			t.Errorf("%s: waited before the records were read", c.name)
		}
		n.SetMembers(now, names, now)
		n.SetLinked(now, c.linked)
		n.SetStartedTogether(now, c.together)
		if got := len(n.Delegate(now)) > 0; got != c.want {
			t.Errorf("%s: delegates at once: %v, want %v", c.name, got, c.want)
		}
		if got := n.Settled(now.Add(settledTogetherAfter)); got != c.want {
			t.Errorf("%s: settled: %v, want %v", c.name, got, c.want)
		}
	}
}
