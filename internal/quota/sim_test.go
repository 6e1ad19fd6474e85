package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simStep is the resolution of the simulated time.
const simStep = 5 * time.Millisecond

// sim is a fleet of nodes on a simulated clock. Messages have delays and may be lost;
// nodes may be partitioned, restarted, suspended, started and removed.
type sim struct {
	rand    *rand.Rand
	config  Config
	now     time.Time
	nodes   []*simNode
	index   map[string]int
	limit   Workspace
	mail    []simMessage
	latency time.Duration
	loss    float64
	// spent holds the times of the admitted requests; rejected counts the others.
	spent    []time.Time
	rejected int
	asks     int
}

type simNode struct {
	name      string
	node      *Node
	group     int // nodes of different groups can't reach each other
	store     bool
	known     map[string]bool // the nodes of the records that were read
	confirmed time.Time
	listedAt  time.Time
	suspended time.Time // until then
	down      bool
	waiting   []time.Time // requests without a decision, by arrival
	demand    float64     // requests a second
	limit     Limit
}

type simMessage struct {
	at       time.Time
	heldUp   time.Duration
	from, to int
	// epoch is that of both nodes when it was sent; messages to an earlier process are
	// lost.
	fromNode, toNode *Node
	delegation       *Delegation
	ask              *Ask
	grant            *Grant
}

func newSim(seed uint64, nodes int, config Config, limit Limit) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), config: config, now: time.Unix(1000, 0),
		limit: Workspace{Name: "w", Limit: limit}, latency: time.Millisecond,
		index: make(map[string]int),
	}
	for i := range nodes {
		s.add(i)
	}
	return s
}

func (s *sim) add(i int) {
	n := &simNode{name: fmt.Sprint("vm-", i), store: true, limit: s.limit.Limit}
	s.nodes = append(s.nodes, n)
	s.index[n.name] = i
	s.restart(i)
}

func (s *sim) restart(i int) {
	n := s.nodes[i]
	n.node = NewNode(n.name, s.config, s.now)
	n.node.SetWorkspaces(s.now, []Workspace{{Name: s.limit.Name, Limit: n.limit}})
	n.confirmed, n.listedAt = time.Time{}, time.Time{}
	n.waiting, n.down, n.known = nil, false, make(map[string]bool)
}

func (s *sim) reaches(i, j int) bool {
	a, b := s.nodes[i], s.nodes[j]
	return !a.down && !b.down && a.group == b.group
}

// run simulates a time.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.deliver()
		for i, n := range s.nodes {
			if n.down || n.suspended.After(s.now) {
				continue
			}
			s.tick(i, n)
			s.request(i, n)
		}
	}
}

func (s *sim) tick(i int, n *simNode) {
	if (s.now.UnixMilli()/int64(simStep/time.Millisecond)+int64(i))%20 != 0 { // each 100 ms
		return
	}
	if n.store && (n.listedAt.IsZero() || s.now.Sub(n.listedAt) > 17*time.Second) {
		n.listedAt, n.confirmed = s.now, s.now
		for _, other := range s.nodes {
			n.known[other.name] = true
		}
	}
	var names []string
	for j, other := range s.nodes {
		if s.reaches(i, j) || n.known[other.name] {
			names = append(names, other.name)
		}
	}
	n.node.SetMembers(s.now, names, n.confirmed)
	n.node.SetLinked(s.now, func(vm string) bool {
		j, known := s.index[vm]
		return known && s.reaches(i, j)
	})
	for _, d := range n.node.Delegate(s.now) {
		s.send(i, d.To, simMessage{delegation: &d.Delegation})
	}
}

func (s *sim) send(from int, to string, m simMessage) {
	j, known := s.index[to]
	if !known || s.rand.Float64() < s.loss {
		return
	}
	m.from, m.to, m.fromNode, m.toNode = from, j, s.nodes[from].node, s.nodes[j].node
	if s.rand.Float64() < s.loss {
		m.heldUp = time.Duration(s.rand.Float64() * float64(3*time.Second))
	}
	m.at = s.now.Add(s.latency/2 + time.Duration(s.rand.Float64()*float64(s.latency)) + m.heldUp)
	s.mail = append(s.mail, m)
}

func (s *sim) deliver() {
	var later []simMessage
	due := s.mail
	s.mail = nil
	for _, m := range due {
		to := s.nodes[m.to]
		switch {
		case m.at.After(s.now) || to.suspended.After(s.now):
			if to.suspended.After(s.now) {
				m.heldUp += simStep
			}
			later = append(later, m)
		case to.node != m.toNode || !s.reaches(m.from, m.to):
		default:
			s.handle(m, to)
		}
	}
	s.mail = append(later, s.mail...)
}

func (s *sim) handle(m simMessage, to *simNode) {
	switch {
	case m.delegation != nil:
		to.node.HandleDelegation(s.now, s.nodes[m.from].name, *m.delegation, m.heldUp)
	case m.ask != nil:
		if g, known := to.node.HandleAsk(s.now, s.nodes[m.from].name, *m.ask); known {
			s.send(m.to, s.nodes[m.from].name, simMessage{grant: &g})
		}
	case m.grant != nil:
		to.node.HandleGrant(s.now, *m.grant)
		waiting := to.waiting
		to.waiting = nil
		for _, at := range waiting {
			s.decide(m.to, to, at, true)
		}
	}
}

// simWait is how long a request waits for a decision.
const simWait = 400 * time.Millisecond

func (s *sim) request(i int, n *simNode) {
	waiting := n.waiting
	n.waiting = nil
	for _, at := range waiting {
		switch {
		case s.now.Sub(at) > simWait:
			if n.node.Expired(s.now, s.limit.Name).Verdict == Rejected {
				s.rejected++
			}
		default:
			n.waiting = append(n.waiting, at)
		}
	}
	expected := n.demand * simStep.Seconds()
	for ; s.rand.ExpFloat64() < expected; expected-- { // about Poisson
		s.decide(i, n, s.now, false)
	}
}

func (s *sim) decide(i int, n *simNode, arrived time.Time, counted bool) {
	d := n.node.Admit(s.now, s.limit.Name, counted)
	if d.To != "" {
		s.asks++
		s.send(i, d.To, simMessage{ask: &d.Ask})
	}
	switch d.Verdict {
	case Admitted:
		s.spent = append(s.spent, s.now)
	case Rejected:
		s.rejected++
	case Unknown:
		n.waiting = append(n.waiting, arrived)
	}
}

// worst returns the most requests that were admitted in any window.
func (s *sim) worst() int {
	most, first := 0, 0
	for i, t := range s.spent {
		for t.Sub(s.spent[first]) > s.config.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *sim) bound(l Limit) float64 {
	return (l.Rate*s.config.Window.Seconds()+l.Burst)*(1+s.config.Overage) + s.config.Slack
}

func (s *sim) demand(perNode float64, nodes int) {
	for i, n := range s.nodes {
		n.demand = 0
		if i < nodes {
			n.demand = perNode
		}
	}
}

func (s *sim) forget() { s.spent, s.rejected, s.asks = nil, 0, 0 }

var testConfig = Config{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Guards against rejections below the limit where the few requests of a small workspace
// are spread over many nodes, also from the time on at which a fleet that has just
// started says that it is ready.
func TestSmallWorkspaceOnManyNodesIsNotRejected(t *testing.T) {
	for _, limit := range []Limit{{5, 8}, {5, 0}, {45, 0}, {300, 100}} {
		spent, rejected := 0, 0
		for seed := range uint64(4) {
			s := newSim(seed, 90, testConfig, limit)
			s.run(3 * time.Second)
			s.demand(limit.Rate/1.6/90, 90)
			s.run(40 * time.Second)
			spent, rejected = spent+len(s.spent), rejected+s.rejected
			t.Log(limit, seed, len(s.spent), s.rejected, s.asks)
		}
		if rejected*1000 > spent {
			t.Errorf("limit %v: %d of %d requests rejected, want at most 1 in 1000", limit, rejected, spent+rejected)
		}
	}
}

// Guards against a workspace that does not get its limit where its demand is at few
// nodes.
func TestWholeLimitWithinOneSecondAtThreeOfNinetyNodes(t *testing.T) {
	for _, limit := range []Limit{{5, 8}, {45, 0}, {300, 100}, {1000, 0}} {
		s := newSim(1, 90, testConfig, limit)
		s.run(3 * time.Second)
		s.demand(limit.Rate/1.6/90, 90)
		s.run(5 * time.Second)
		s.demand(20*limit.Rate/1.6/3, 3)
		s.run(time.Second)
		s.forget()
		s.run(10 * time.Second)
		if got, want := float64(len(s.spent)), 10*limit.Rate; got < 0.97*want {
			t.Errorf("limit %v: %v of %v requests admitted in 10s", limit, got, want)
		}
		if s.rejected == 0 {
			t.Errorf("limit %v: nothing rejected at 20 times the demand", limit)
		}
	}
}
