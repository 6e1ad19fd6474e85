package instance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// born returns a heartbeat of an instance that reports its start.
func born(id string, ms int64, seq uint64) Heartbeat {
	h := heartbeat(id, seq)
	h.Born = ms
	return h
}

// handleAt is handle with a time since the epoch of the test.
func handleAt(after time.Duration, h Heartbeat) func(*Tracker) Change {
	return func(tr *Tracker) Change { return tr.HandleHeartbeat(time.Unix(0, 0).Add(after), h) }
}

func misdirected(expected, actual string) func(*Tracker) Change {
	return func(tr *Tracker) Change { return tr.Misdirected(expected, actual) }
}

func healthy(id string) func(*Tracker) Change {
	return func(tr *Tracker) Change { return tr.Healthy(id) }
}

func deregister(id string, ms int64) func(*Tracker) Change {
	return func(tr *Tracker) Change { return tr.Deregister(Deregistration{ID: id, Born: ms}) }
}

// TestHeartbeatOfAnotherServiceIsRefused guards against one heartbeat of another writer, or
// a late one of an earlier upstream, that makes the VM one of another service.
func TestHeartbeatOfAnotherServiceIsRefused(t *testing.T) {
	other, otherID := born("a", 100, 9), born("other", 500, 1)
	other.Service, otherID.Service = "unnamed", "unnamed"
	run(t, []step{
		{"another service first", handle(otherID), Refused, "", false},
		{"first", handle(born("a", 100, 1)), Started, "a/100", true},
		{"another service, its id", handle(other), Refused, "a/100", true},
		{"another service, a later start", handle(otherID), Refused, "a/100", true},
		{"next", handle(born("a", 100, 2)), Same, "a/100", true},
	})
	record := stored("x")
	record.Service = "unnamed"
	run(t, []step{
		{"record of another service", func(tr *Tracker) Change { return tr.Restore(record) }, Ignored, "", false},
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
	})
}

// TestStartsAreOrderedByTheirTime guards against an instance that is displaced by whoever
// speaks last.
func TestStartsAreOrderedByTheirTime(t *testing.T) {
	farAhead := time.Unix(0, 0).Add(2 * maxClockError).UnixMilli()
	cases := map[string][]step{
		"later start": {
			{"first", handle(born("a", 100, 7)), Started, "a/100", true},
			{"later", handle(born("b", 200, 1)), Started, "b/200", true},
			{"late heartbeat of the earlier one", handle(born("a", 100, 8)), Disputed, "b/200", true},
			{"next", handle(born("b", 200, 2)), Same, "b/200", true},
		},
		"displaced by another writer": {
			{"first", handle(born("a", 100, 7)), Started, "a/100", true},
			{"another writer", handle(born("x", 200, 1)), Started, "x/200", true},
			{"the upstream speaks", handle(born("a", 100, 8)), Disputed, "x/200", true},
			{"health check", misdirected("x/200", "a"), Lost, "", false},
			{"the upstream speaks again", handle(born("a", 100, 9)), Started, "a/100", true},
			{"another writer again", handle(born("x", 200, 2)), Started, "x/200", true},
		},
		"earlier start that the upstream confirms": {
			{"another writer first", handle(born("x", 300, 1)), Started, "x/300", true},
			{"the upstream", handle(born("a", 100, 1)), Disputed, "x/300", true},
			{"health check", misdirected("x/300", "a"), Lost, "", false},
			{"the upstream", handle(born("a", 100, 2)), Started, "a/100", true},
		},
		"earlier start while the current one is silent": {
			{"another writer first", handle(born("x", 300, 1)), Started, "x/300", true},
			{"the upstream", handleAt(time.Second, born("a", 100, 1)), Disputed, "x/300", true},
			{"the upstream, soon", handleAt(silentAfter, born("a", 100, 2)), Disputed, "x/300", true},
			{"the upstream, later", handleAt(2*silentAfter, born("a", 100, 3)), Started, "a/100", true},
		},
		"the current one answers a health check": {
			{"first", handle(born("a", 100, 1)), Started, "a/100", true},
			{"another writer", handleAt(time.Second, born("x", 50, 1)), Disputed, "a/100", true},
			{"health check", healthy("a"), Same, "a/100", true},
			{"another writer, much later", handleAt(2*silentAfter, born("x", 50, 2)), Disputed, "a/100", true},
		},
		"equal starts": {
			{"first", handle(born("a", 100, 1)), Started, "a/100", true},
			{"same millisecond", handle(born("b", 100, 1)), Disputed, "a/100", true},
		},
		"no start named beside one that is": {
			{"first", handle(born("a", 100, 1)), Started, "a/100", true},
			{"none named", handle(heartbeat("b", 1)), Disputed, "a/100", true},
			{"connection refused", func(tr *Tracker) Change { return tr.ConnectionRefused("a/100") }, Lost, "a/100", false},
			{"none named, the current one lost", handle(heartbeat("b", 2)), Started, "b", true},
		},
		"no start named after the current one has deregistered": {
			{"first", handle(born("a", 100, 1)), Started, "a/100", true},
			{"deregisters", deregister("a", 0), Leaving, "a/100", false},
			{"none named", handle(heartbeat("b", 2)), Started, "b", true},
		},
		"a start far in the future": {
			{"first", handle(born("a", 100, 1)), Started, "a/100", true},
			{"future", handle(born("b", farAhead, 1)), Disputed, "a/100", true},
			{"health check", misdirected("a/100", "b"), Lost, "", false},
			{"its clock is wrong", handle(born("b", farAhead, 2)), Started, Identity("b", farAhead), true},
			{"later start with a good clock", handle(born("c", 200, 1)), Disputed, Identity("b", farAhead), true},
		},
		"an answer that names no instance": {
			{"first", handle(born("a", 100, 1)), Started, "a/100", true},
			{"misdirected", misdirected("a/100", ""), Lost, "", false},
			{"the upstream", handleAt(time.Second, born("a", 100, 2)), Disputed, "", false},
			{"the upstream goes on", handleAt(2*silentAfter, born("a", 100, 3)), Started, "a/100", true},
		},
		"arrival where none is named": {
			{"first", handle(heartbeat("a", 9)), Started, "a", true},
			{"second", handle(heartbeat("b", 1)), Started, "b", true},
			{"the first speaks again", handleAt(time.Second, heartbeat("a", 10)), Disputed, "b", true},
			{"and goes on", handleAt(2*silentAfter, heartbeat("a", 11)), Started, "a", true},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) { run(t, steps) })
	}
}

// TestSequenceOfAnotherWriterDoesNotSilenceTheUpstream guards against one heartbeat with a
// large number behind which the upstream's own count as late for good.
func TestSequenceOfAnotherWriterDoesNotSilenceTheUpstream(t *testing.T) {
	forged := heartbeat("a", math.MaxUint64)
	forged.Draining = true
	run(t, []step{
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
		{"largest number", handle(forged), Refused, "a", true},
		{"next", handle(heartbeat("a", 2)), Same, "a", true},
	})
	run(t, []step{
		{"largest number first", handle(forged), Started, "a", false},
		{"the upstream", handleAt(time.Second, heartbeat("a", 2)), Ignored, "a", false},
		{"the same again", handleAt(2*silentAfter, heartbeat("a", 2)), Ignored, "a", false},
		{"the upstream goes on", handleAt(2*silentAfter, heartbeat("a", 3)), Returned, "a", true},
		{"next", handleAt(2*silentAfter, heartbeat("a", 4)), Same, "a", true},
	})
	drain := heartbeat("a", 8)
	drain.Draining = true
	run(t, []step{
		{"drains", handle(drain), Started, "a", false},
		{"late heartbeat", handleAt(time.Second, heartbeat("a", 2)), Ignored, "a", false},
		{"drains still", handleAt(2*time.Second, func() Heartbeat { h := drain; h.Seq = 9; return h }()), Same, "a", false},
		{"late heartbeat, long after the first", handleAt(2*silentAfter, heartbeat("a", 3)), Ignored, "a", false},
	})
}

// TestLateDeregistrationOfAnEarlierStart guards against a deregistration of an earlier
// start under the same id that ends the later one for good.
func TestLateDeregistrationOfAnEarlierStart(t *testing.T) {
	run(t, []step{
		{"first start", handle(born("a", 100, 1)), Started, "a/100", true},
		{"second start", handle(born("a", 200, 1)), Started, "a/200", true},
		{"late deregistration of the first", deregister("a", 100), Ignored, "a/200", true},
		{"next", handle(born("a", 200, 2)), Same, "a/200", true},
		{"a later start has ended", deregister("a", 300), Leaving, "a/200", false},
		{"late heartbeat of that one", handle(born("a", 300, 1)), Ignored, "a/200", false},
		{"late heartbeat of the second", handle(born("a", 200, 3)), Ignored, "a/200", false},
		{"next start", handle(born("a", 400, 1)), Started, "a/400", true},
		{"it deregisters", deregister("a", 400), Leaving, "a/400", false},
		{"again", deregister("a", 400), Ignored, "a/400", false},
	})
	run(t, []step{
		{"deregisters before the record is read", deregister("a", 0), Ignored, "", false},
		{"record", func(tr *Tracker) Change { return tr.Restore(stored("a/100")) }, Started, "a/100", false},
		{"health check", healthy("a"), Same, "a/100", false},
	})
}

// TestAnswerDoesNotRecallADeregisteredInstance guards against an instance that serves on
// after it has deregistered, answers, and then gets requests for a late heartbeat.
func TestAnswerDoesNotRecallADeregisteredInstance(t *testing.T) {
	run(t, []step{
		{"first", handle(heartbeat("a", 1)), Started, "a", true},
		{"deregisters", deregister("a", 0), Leaving, "a", false},
		{"next instance", handle(heartbeat("b", 1)), Started, "b", true},
		{"the first answers still", misdirected("b", "a"), Lost, "", false},
		{"its late heartbeat", handle(heartbeat("a", 2)), Ignored, "", false},
		{"next instance", handleAt(time.Second, heartbeat("b", 2)), Disputed, "", false},
		{"health check", misdirected("", "b"), Same, "", false},
		{"next instance", handleAt(time.Second, heartbeat("b", 3)), Started, "b", true},
	})
}

// upstreamModel is a true upstream with its node, which gets messages of other writers.
type upstreamModel struct {
	tr  *Tracker
	rng *rand.Rand
	now time.Time
	// id, started and seq are the upstream's; started is 0 if it does not report that.
	id      string
	started int64
	seq     uint64
	starts  int
	ended   map[string]bool // identities that have deregistered
}

func (m *upstreamModel) restart() {
	m.starts++
	m.id, m.seq, m.started = fmt.Sprint("i-", m.starts), 0, 0
	if m.rng.IntN(2) == 0 {
		m.started = m.now.UnixMilli()
	}
}

func (m *upstreamModel) beat() Change {
	m.seq++
	return m.tr.HandleHeartbeat(m.now, born(m.id, m.started, m.seq))
}

// forge returns a heartbeat of another writer, complete and of this service.
func (m *upstreamModel) forge() Heartbeat {
	ids := []string{m.id, "i-other", fmt.Sprint("i-", 1+m.rng.IntN(m.starts))}
	started := []int64{0, m.started, m.now.UnixMilli(), 1, math.MaxInt64}
	seqs := []uint64{0, m.seq, m.seq + 5, math.MaxUint64}
	h := born(ids[m.rng.IntN(len(ids))], started[m.rng.IntN(len(started))], seqs[m.rng.IntN(len(seqs))])
	h.Draining = m.rng.IntN(3) == 0
	return h
}

// step lets one message arrive.
func (m *upstreamModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.Int64N(int64(2 * time.Second))))
	switch m.rng.IntN(8) {
	case 0, 1, 2:
		m.beat()
	case 3, 4:
		m.tr.HandleHeartbeat(m.now, m.forge())
	case 5:
		m.tr.Misdirected(m.tr.State().ID, m.id)
	case 6:
		m.tr.ConnectionRefused(m.tr.State().ID)
	case 7:
		m.ended[Identity(m.id, m.started)] = true
		m.tr.Deregister(Deregistration{ID: m.id, Born: m.started})
		m.restart()
	}
}

// TestUpstreamPrevailsOverOtherWriters guards against messages of other writers, in any
// order, after which the true upstream is ignored for good, another service is known, or one
// that has deregistered takes requests.
func TestUpstreamPrevailsOverOtherWriters(t *testing.T) {
	const (
		runs, steps = 5000, 40
		interval    = time.Second // of heartbeats
		most        = 3 * silentAfter
	)
	for seed := range uint64(runs) {
		m := &upstreamModel{tr: NewTracker(address, "span"), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), ended: make(map[string]bool)}
		m.restart()
		for range steps {
			m.step()
			if m.rng.IntN(3) == 0 && m.beat() == Ignored && m.tr.State().ID != Identity(m.id, m.started) {
				t.Fatalf("seed %d: a heartbeat of %q is acknowledged, the current instance is %q", seed, m.id, m.tr.State().ID)
			}
			if s := m.tr.State(); s.Ready && (m.ended[s.ID] || s.Service != "span") {
				t.Fatalf("seed %d: %q of service %q takes requests, want none that has deregistered", seed, s.ID, s.Service)
			}
		}
		ready := func() bool { s := m.tr.State(); return s.Ready && IDOf(s.ID) == m.id }
		for quiet := m.now; !ready(); m.now = m.now.Add(interval) {
			if m.now.Sub(quiet) > most {
				t.Fatalf("seed %d: %q does not take requests %v after the last message of another writer: %+v", seed, m.id, most, m.tr.State())
			}
			m.beat()
		}
	}
}
