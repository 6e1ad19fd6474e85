package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// propertyRuns is the number of generated histories.
const propertyRuns = 80

// fault applies one random fault, or ends some.
func (s *sim) fault() {
	i := s.rand.IntN(len(s.nodes))
	n := s.nodes[i]
	switch s.rand.IntN(14) {
	case 0, 1: // partition
		groups := 2 + s.rand.IntN(3)
		for _, n := range s.nodes {
			n.group = s.rand.IntN(groups)
		}
	case 2:
		for _, n := range s.nodes {
			n.group = 0
		}
	case 3:
		s.restart(i)
	case 4: // a part of the nodes restarts
		for j := range s.nodes {
			if s.rand.IntN(2) == 0 {
				s.restart(j)
			}
		}
	case 5:
		n.down = true
	case 6:
		for j, n := range s.nodes {
			if n.down {
				s.restart(j)
			}
		}
	case 7, 8:
		n.suspended = s.now.Add(time.Duration(s.rand.Float64() * float64(8*time.Second)))
	case 9:
		s.loss = s.rand.Float64() * 0.2
		s.latency = time.Duration(1+s.rand.IntN(40)) * time.Millisecond
	case 10:
		for _, n := range s.nodes {
			n.store = s.rand.IntN(2) == 0
		}
	case 11: // demand moves to a part of the nodes
		s.demand(s.rand.Float64()*8*s.limit.Rate/float64(i+1), i+1)
	case 12:
		s.demand(0, 0)
	case 13: // all at once, after tokens were saved
		s.demand(20*s.limit.Rate/float64(len(s.nodes)), len(s.nodes))
	}
}

// underFaults returns the most requests in any window of a fleet under random faults,
// and the bound.
func underFaults(seed uint64, nodes int, rate, burst float64) (worst int, bound float64) {
	s := newSim(seed, nodes, testConfig, Limit{rate, burst})
	s.demand(4*rate/float64(nodes), nodes)
	joins := nodes / 10
	for range 25 {
		s.run(time.Duration(s.rand.Float64() * float64(3*time.Second)))
		s.fault()
		if joins > 0 && s.rand.IntN(5) == 0 {
			joins--
			s.add(len(s.nodes))
		}
	}
	return s.worst(), s.bound(s.limit.Limit)
}

// Guards against more requests in a window than the limit allows, whatever is lost,
// delayed, partitioned, suspended or restarted.
func TestNoWindowExceedsTheLimitUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(parameters)
	// Not shrunk: each case takes a good part of a second.
	properties.Property("the sum over all nodes is within the formula", prop.ForAllNoShrink(
		func(seed uint64, nodes int, rate, burst float64) string {
			if worst, bound := underFaults(seed, nodes, rate, burst); float64(worst) > bound {
				return fmt.Sprintf("got %d requests in a window, want at most %v", worst, bound)
			}
			return ""
		},
		gen.UInt64(), gen.IntRange(1, 24), gen.Float64Range(0.5, 400), gen.Float64Range(0, 200),
	))
	properties.TestingRun(t)
}

// Guards against a node that has restarted without the records, knows only some of the
// others and divides the limit among these.
func TestNodeThatKnowsOnlySomeNodesTakesNoShareOfTheOthers(t *testing.T) {
	if worst, bound := underFaults(8245408779709042248, 9, 265.2949941942766, 149.40493680556048); float64(worst) > bound {
		t.Errorf("got %d requests in a window, want at most %v", worst, bound)
	}
}

// Guards against a limit that was lowered far below the present rate and is exceeded
// later than one window after all nodes know it.
func TestLoweredLimitHoldsOneWindowLater(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 20, testConfig, Limit{200, 100})
		s.demand(50, 20)
		s.run(10 * time.Second)
		lower := Limit{10, 0}
		for _, n := range s.nodes { // each hears of it at another time
			s.run(100 * time.Millisecond)
			n.limit = lower
			n.node.SetWorkspaces(s.now, []Workspace{{Name: s.limit.Name, Limit: lower}})
		}
		s.run(s.config.Window)
		s.forget()
		s.run(15 * time.Second)
		if got := s.worst(); float64(got) > s.bound(lower) {
			t.Errorf("seed %d: got %d requests in a window, want at most %v", seed, got, s.bound(lower))
		}
		if len(s.spent) < 100 {
			t.Errorf("seed %d: got %d requests in 15s at a limit of 10 a second", seed, len(s.spent))
		}
	}
}

// Guards against a side of a partition that spends the whole limit, and one that gets
// nothing.
func TestSidesOfAPartitionDivideTheLimit(t *testing.T) {
	s := newSim(1, 30, testConfig, Limit{300, 0})
	s.demand(100, 30)
	s.run(10 * time.Second)
	for i, n := range s.nodes {
		if i < 10 {
			n.group = 1
		}
	}
	s.run(10 * time.Second)
	s.forget()
	s.run(10 * time.Second)
	whole := len(s.spent)
	s.forget()
	s.demand(100, 10)
	s.run(10 * time.Second)
	if third := len(s.spent); third < 900 || third > 1100 || whole < 2800 || whole > 3100 {
		t.Errorf("got %d requests on the side with a third of the nodes and %d on both, want about 1000 and 3000", third, whole)
	}
}

// Guards against nodes that are cut off from all others and the records, and count only
// themselves after a while.
func TestShareDoesNotGrowWhileOthersAreSilent(t *testing.T) {
	s := newSim(1, 10, testConfig, Limit{100, 0})
	s.run(5 * time.Second)
	s.nodes[0].group, s.nodes[0].store = 1, false
	s.run(10 * time.Second)
	s.demand(200, 1)
	s.run(60 * time.Second)
	if got := len(s.spent); got > 60*12 {
		t.Errorf("got %d requests in 60s at one of 10 nodes, want at most a tenth of the limit", got)
	}
	s.run(60 * time.Second)
	s.forget()
	s.run(10 * time.Second)
	if got := len(s.spent); got > 0 {
		t.Errorf("got %d requests at a node that the others may have forgotten, want none", got)
	}
}

// Guards against a restart or a failure of an owner that stops the workspace for longer
// than its delegations last.
func TestFailedOwnerIsReplaced(t *testing.T) {
	s := newSim(1, 30, testConfig, Limit{300, 0})
	s.demand(5, 30)
	s.run(10 * time.Second)
	owner := s.nodes[0].node.names[ownerIn(s.nodes[0].node.promises.list, IDOf(s.limit.Name))]
	s.nodes[s.index[owner]].down = true
	s.run(2*s.nodes[1].node.valid() + simWait)
	s.forget()
	s.run(10 * time.Second)
	if s.rejected > 0 || len(s.spent) < 1000 {
		t.Errorf("got %d requests rejected and %d admitted, want none and about 1450", s.rejected, len(s.spent))
	}
}

// Guards against requests of a small workspace that are rejected while another node takes
// it over from its owner, which is in contact.
func TestOwnerIsReplacedWithoutRejections(t *testing.T) {
	testReplacedOwner(t, Limit{5, 8})
}

// Guards against the same for a large workspace, whose tokens have short lives.
func TestOwnerOfLargeWorkspaceIsReplacedWithoutRejections(t *testing.T) {
	testReplacedOwner(t, Limit{300, 0})
}

func testReplacedOwner(t *testing.T, limit Limit) {
	t.Helper()
	s := newSim(1, 30, testConfig, limit)
	s.demand(limit.Rate/1.6/30, 30)
	s.run(5 * time.Second)
	owner := s.index[ownerOf(s.nodes[0].node)]
	s.nodes[owner].down = true
	s.run(15 * time.Second)
	s.forget()
	s.restart(owner)
	s.run(15 * time.Second)
	if back := s.index[ownerOf(s.nodes[(owner+1)%30].node)]; back != owner {
		t.Fatalf("got node %d as the owner, want %d again", back, owner)
	}
	if s.rejected > 0 {
		t.Errorf("%d of %d requests rejected while the owner changed, want none", s.rejected, s.rejected+len(s.spent))
	}
}
