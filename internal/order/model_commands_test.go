package order_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"heathershed/internal/order"
)

// clockSteps are the amounts by which the clock may advance.
var clockSteps = []time.Duration{
	50 * time.Millisecond, 300 * time.Millisecond, time.Second,
	3 * time.Second, 7 * time.Second, 8500 * time.Millisecond,
}

// event is one random action on the model.
type event struct{ op, a, b int }

// burst is the command that gopter generates sequences of. It holds several
// events, because running a command costs more than applying an event.
type burst [4]event

func (b burst) String() string                          { return fmt.Sprint([4]event(b)) }
func (burst) PreCondition(commands.State) bool          { return true }
func (burst) NextState(s commands.State) commands.State { return s }
func (burst) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if violation := r.(string); violation != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{violation}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// Run applies the events and returns the first violated invariant, or an empty
// string.
func (b burst) Run(sut commands.SystemUnderTest) commands.Result {
	m := sut.(*model)
	for _, e := range b {
		e.apply(m)
		m.check()
	}
	return m.violation
}

func (e event) apply(m *model) {
	n := m.nodes[e.a%numVMs]
	switch {
	case e.op < 6: // the normal course of an order, or its first steps
		m.call(n, e.b, e.a/numVMs%16)
		for range 1 + e.a%7 {
			m.deliver(1<<(e.b%16), false)
		}
	case e.op < 10: // the clock advances, followed by heartbeats
		m.advanceClock(clockSteps[e.b%len(clockSteps)])
		for _, each := range m.nodes {
			m.heartbeat(each)
		}
		m.flush(1 << (e.a % 8))
	case e.op < 13: // a complete change, which one node receives
		m.editors[e.a%2].step = 0
		for range 3 {
			m.advanceEditor(&m.editors[e.a%2], m.nodes[e.a%2], e.b)
			m.flush(1 << (e.a / 2 % 8))
		}
		version, value := m.read(0)
		m.offer(m.nodes[e.b%numVMs], version, value)
	case e.op < 22:
		m.call(n, e.b, e.a/numVMs%16)
	case e.op < 30:
		m.deliver(e.b, e.a%4 == 0)
	case e.op < 32:
		m.fireTimeouts()
	case e.op < 35 && len(m.pending) > 0: // one step: out of order, duplicated or lost
		i := e.b % len(m.pending)
		step := m.pending[i]
		duplicated, lost := e.op == 33 && step.duplicable, e.op == 34 && step.lossy
		if !duplicated {
			m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
		}
		if !lost {
			step.do()
		}
	case e.op < 40:
		m.advanceClock(clockSteps[e.b%len(clockSteps)])
	case e.op < 46:
		m.heartbeat(n)
	case e.op < 50:
		for _, each := range m.nodes {
			m.heartbeat(each)
		}
	case e.op < 62:
		i := e.a % len(m.editors)
		m.advanceEditor(&m.editors[i], m.nodes[i], e.b)
	case e.op < 67 && !m.down:
		version, value := m.read(e.b % 3 / 2)
		m.sendTo(n, func() { m.offer(n, version, value) })
	case e.op < 69: // gossip between nodes
		if version, value := m.nodes[e.b%numVMs].participant.Document(); version != 0 {
			m.sendTo(n, func() { m.offer(n, version, value) })
		}
	case e.op < 73:
		m.restart(e.a%numVMs, n.self.Incarnation+1)
	case e.op < 74:
		m.editors[e.a%len(m.editors)] = editor{}
	case e.op < 76:
		m.down = e.b%3 == 0
	case e.op < 77:
		m.leave(e.a % numVMs)
	case e.op < 78 && e.b%2 == 0:
		m.quiesce()
	case e.op < 78:
		m.heal()
	case e.op < 79 && e.b < 32: // all processes are paused past the horizon
		m.real = m.real.Add(order.DefaultHorizon)
	case e.op < 80 && m.clockFaults && e.b < 64:
		n.skew = time.Duration(e.a-128) * 500 * time.Millisecond
	default:
		n.table.Expire(m.now(n))
	}
}

// newCommands generates random sequences of events.
func newCommands(f fault, c *counts, clockFaults bool) commands.Commands {
	const operations, operands = 80, 256
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newModel(f, c, clockFaults) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return func(p *gopter.GenParameters) *gopter.GenResult {
				var b burst
				for i := range b {
					b[i] = event{op: p.Rng.Intn(operations), a: p.Rng.Intn(operands), b: p.Rng.Intn(operands)}
				}
				return gopter.NewGenResult(b, gopter.NoShrinker)
			}
		},
	}
}

func parameters(seed int64, sequences int) *gopter.TestParameters {
	p := gopter.DefaultTestParameters()
	p.Rng = rand.New(rand.NewSource(seed))
	p.MinSuccessfulTests = sequences
	p.MinSize, p.MaxSize = 6, 20 // bursts: 24 to 80 events
	p.MaxShrinkCount = 400
	return p
}

// TestAtMostOnce runs the components together under random faults and guards
// against an order that runs twice, an order that is lost without a verdict, a
// false "not run", and a cluster that accepts no orders after the faults have
// ended. With the last seed, clocks are wrong by up to a minute.
func TestAtMostOnce(t *testing.T) {
	const parts, sequences = 4, 2500
	for seed := range int64(parts + 1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := &counts{}
			properties := gopter.NewProperties(parameters(seed, sequences))
			properties.Property("at most once", commands.Prop(newCommands(noFault, c, seed == parts)))
			properties.TestingRun(t)
			for name, n := range map[string]int{
				"runs": c.runs, "changes": c.changes, "not run": c.notRun, "recorded": c.recorded, "running": c.running,
			} {
				if n < sequences/10 {
					t.Errorf("%s: got only %d times in %d sequences", name, n, sequences)
				}
			}
			t.Logf("%+v", *c)
		})
	}
}

// TestModelDetectsOmittedRules guards against a model that cannot detect
// faults: with any one rule of the protocol left out, the same sequences must
// violate an invariant.
func TestModelDetectsOmittedRules(t *testing.T) {
	for name, f := range map[string]fault{
		"change without acknowledged intent": noIntent,
		"limit too late":                     lateLimit,
		"no fence after not run":             noFence,
		"restarted witness confirms":         restartedWitness,
		"missing answer ended as not run":    timeoutAsNotRun,
		"not run for unrecorded copies":      unrecordedNotRun,
		"unconditional write":                unconditionalWrite,
		"clocks not compared":                uncheckedClocks,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := parameters(0, 10_000)
			p.MaxShrinkCount = 0
			result := commands.Prop(newCommands(f, &counts{}, f == uncheckedClocks)).Check(p)
			if result.Passed() {
				t.Errorf("no invariant violated in %d sequences", result.Succeeded)
			}
			t.Logf("%v after %d sequences: %v", result.Status, result.Succeeded, result.Labels)
		})
	}
}
