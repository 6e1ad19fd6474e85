package node

import (
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"heathershed/internal/catalogue"
	"heathershed/internal/contract"
	"heathershed/internal/order/homes"
	"heathershed/internal/platform/fake"
	"heathershed/internal/settings"
	"heathershed/internal/timeline"
)

// byService returns the nodes of a service.
func (f *fleet) byService(service string) []*member {
	var list []*member
	for _, m := range f.nodes {
		if m.cfg.Service == service {
			list = append(list, m)
		}
	}
	return list
}

func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	f := startFleet(t, 1, 2)
	front, deep := f.nodes[0], f.byService("deep")
	hold := make(chan struct{})
	results := make(chan result)
	const calls = 8
	for _, m := range deep {
		m.upstream.hold.Store(&hold)
	}
	for range calls {
		go func() { results <- send(t, front, "GET", "/check/x") }()
	}
	f.await("all calls are in flight at the upstreams", func() bool { return deep[0].inFlight()+deep[1].inFlight() == calls })
	deep[0].node.requestStop()
	f.await("the shutdown has begun", func() bool { return deep[0].node.phase() == phaseLeaving })
	close(hold)
	for range calls {
		if got := <-results; got.verdict != "ran" {
			t.Errorf("call in flight during the shutdown: got %+v, want verdict ran", got)
		}
	}
	<-deep[0].ended
	if deep[0].err != nil {
		t.Errorf("Run after a graceful shutdown: got error %v, want nil", deep[0].err)
	}
	if got := send(t, front, "GET", "/check/x"); got.verdict != "ran" {
		t.Errorf("call after the shutdown: got %+v, want verdict ran", got)
	}
}

func (m *member) inFlight() int { return m.node.gate.Load().InFlight }

func TestCatalogueChangeReachesEveryNode(t *testing.T) {
	f := startFleet(t, 2, 2)
	f.changeCatalogue(t)
	for _, m := range f.nodes {
		if got := send(t, m, "GET", "/more/x"); got.verdict != "ran" {
			t.Errorf("call at %s: got %+v, want verdict ran", m.cfg.VM, got)
		}
	}
}

// changeCatalogue writes version 2, with one more kind, to the store and waits
// until every node uses it.
func (f *fleet) changeCatalogue(t testing.TB) {
	current, _ := f.nodes[0].node.catalogue.Current()
	d := catalogue.Document{Text: string(current.Text()) + "\n[kind more]\nowner = desk\nservice = " + f.nodes[0].cfg.Service + "\nclass = check\nidempotent = true\nmethod = GET\npath = /more/x\ntimeout = 1s\n"}
	d.Version, d.EditID, d.Author, d.Time = 2, "second", "test", time.Now()
	value, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	o, err := f.store.Get(t.Context(), catalogue.Key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.Put(t.Context(), catalogue.Key, value, o.Version, uuid.NewString()); err != nil {
		t.Fatal(err)
	}
	f.await("every node uses catalogue version 2", func() bool {
		for _, m := range f.nodes {
			if _, version := m.node.catalogue.Current(); version != 2 {
				return false
			}
		}
		return true
	})
}

func TestOrdersRunOnceWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t, 1, 3)
	f.awaitHomes()
	f.store.SetFaults(fake.Faults{Down: true})
	f.await("the last confirmation of the homes has expired", func() bool {
		return time.Since(f.nodes[0].node.homes.Current().Confirmed) > homes.ActivationDelay+homes.ClockMargin
	})
	for range 12 {
		id := newOrderID(t)
		for range 2 {
			if got := send(t, f.nodes[0], "POST", "/cut", contract.HeaderOrder, id); got.verdict != "ran" {
				t.Errorf("order while the store is down: got %+v, want verdict ran", got)
			}
		}
		if runs := f.totalRuns(id); runs != 1 {
			t.Errorf("order ran %d times, want 1", runs)
		}
	}
}

func TestNodeStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t, 2, 2)
	f.store.SetFaults(fake.Faults{Down: true})
	late := f.addWith("front", 4, "dc0", func(cfg *settings.Settings) { cfg.Peers = []string{f.nodes[0].cfg.Link} })
	f.await("the late node is serving", func() bool { return late.node.phase() == phaseServing })
	f.await("the late node reaches the others", func() bool {
		return send(t, late, "GET", "/lookup/1").verdict == "ran"
	})
	f.await("every node knows the late node", func() bool {
		for _, m := range f.nodes {
			if m.node.control.members.Load().count != len(f.nodes) {
				return false
			}
		}
		return true
	})
}

func TestOrdersAfterTheirHomeCrashes(t *testing.T) {
	f := startFleet(t, 1, 3)
	f.awaitHomes()
	front, victim := f.nodes[0], f.byService("deep")[2]
	before := f.orderIDWithHome(victim)
	if got := send(t, front, "POST", "/cut", contract.HeaderOrder, before); got.verdict != "ran" {
		t.Fatalf("order before the crash: got %+v, want verdict ran", got)
	}
	victim.node.halt()
	<-victim.ended
	f.await("the link to the crashed node is lost", func() bool { return !front.node.links.Up(victim.cfg.VM) })
	if got := send(t, front, "POST", "/cut", contract.HeaderOrder, before); got.verdict != "may-have-run" {
		t.Errorf("repeat after the crash of its home: got %+v, want verdict may-have-run", got)
	}
	fresh := f.orderIDWithHome(victim)
	if got := send(t, front, "POST", "/cut", contract.HeaderOrder, fresh, contract.HeaderAttempt, "0"); got.verdict != "not-run" {
		t.Errorf("first attempt while its home is gone: got %+v, want verdict not-run", got)
	}
	issued := send(t, front, "GET", orderIDPath+"?service=deep").body
	if got := send(t, front, "POST", "/cut", contract.HeaderOrder, issued); got.verdict != "ran" {
		t.Errorf("order with an id that a node issued after the crash: got %+v, want verdict ran", got)
	}
	if runs := f.totalRuns(before); runs != 1 {
		t.Errorf("order ran %d times, want 1", runs)
	}
	victim.start(f)
	f.await("the restarted VM is a home again", func() bool {
		document := front.node.homes.Current()
		lists := document.Services["deep"]
		return slices.Contains(lists[len(lists)-1].Members, victim.node.self())
	})
	if got := send(t, front, "POST", "/cut", contract.HeaderOrder, before); got.verdict != "may-have-run" {
		t.Errorf("repeat at the restarted VM: got %+v, want verdict may-have-run", got)
	}
}

// orderIDWithHome returns an order id whose home is the given node.
func (f *fleet) orderIDWithHome(m *member) string {
	f.t.Helper()
	for {
		text := newOrderID(f.t)
		id, err := contract.ParseOrderID(text)
		if err != nil {
			f.t.Fatal(err)
		}
		if home, ok := f.nodes[0].node.homes.Current().Home(m.cfg.Service, id); ok && home == m.node.self() {
			return text
		}
	}
}

// Guards against a node that marks a live peer lapsed after closing a link that
// it no longer needs. Such a false record changes the link targets of every
// node, which closes more links.
func TestClosedLinksDoNotMarkLiveMembersLapsed(t *testing.T) {
	f := startFleet(t, 8, 8)
	f.awaitHomes()
	version := f.nodes[0].node.homes.Current().Version
	f.await("the homes were confirmed three more times", func() bool {
		return f.nodes[0].node.homes.Current().Version >= version+3
	})
	for _, m := range f.nodes {
		for _, e := range m.node.events.Trace(0).Events {
			if e.Kind == timeline.KindMember && e.Detail != "up" {
				t.Errorf("%s recorded %s as %s, want only up", m.cfg.VM, e.Peer, e.Detail)
			}
		}
	}
}

func TestAbortedShutdownAnswersMayHaveRun(t *testing.T) {
	f := startFleet(t, 1, 1)
	hold := make(chan struct{})
	defer close(hold)
	f.nodes[1].upstream.hold.Store(&hold)
	out := make(chan result)
	go func() { out <- send(t, f.nodes[0], "GET", "/check/x") }()
	f.await("the call is in flight at the upstream", func() bool { return f.nodes[1].inFlight() == 1 })
	f.nodes[0].node.requestStop()
	f.nodes[0].node.Abort()
	if got := <-out; got.verdict != "may-have-run" {
		t.Errorf("call in flight at an aborted shutdown: got %+v, want verdict may-have-run", got)
	}
	<-f.nodes[0].ended
	if f.nodes[0].err != nil {
		t.Errorf("Run after an aborted shutdown: got error %v, want nil", f.nodes[0].err)
	}
}
