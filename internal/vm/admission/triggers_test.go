package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"heathershed/internal/contract"
)

func expDecay(x float64) float64 { return math.Exp(-x) }

// share returns the fraction of the calls that arrived in [from, to) and were
// answered completely, of one class or, with -1, of all.
func (f *fake) share(class int, from, to time.Duration) float64 {
	answered, offered := 0, 0
	for c := range f.offered {
		if class >= 0 && c != class {
			continue
		}
		for b := from / bucketWidth; b < to/bucketWidth; b++ {
			answered += f.answered[c][b]
			offered += f.offered[c][b]
		}
	}
	return float64(answered) / float64(max(offered, 1))
}

// recovery returns the time after the trigger's end from which the share of
// answered calls stays at 95 % of the share before the trigger, in windows of
// half a second.
func (f *fake) recovery() time.Duration {
	const window = 500 * time.Millisecond
	normal := 0.95 * f.share(-1, time.Second, triggerAt)
	recovered := triggerEnd
	for at := triggerEnd; at+window <= horizon-2*rootTimeout; at += bucketWidth {
		if f.share(-1, at, at+window) < normal {
			recovered = at + bucketWidth
		}
	}
	return recovered - triggerEnd
}

// goodput returns the calls answered completely while the trigger lasted, as a
// fraction of what the upstream could answer or, if that is less, of what was
// offered.
func (f *fake) goodput() float64 {
	fits := capacity * float64(workers-f.lostWorkers) / workers
	if f.slow > 0 {
		fits /= f.slow
	}
	offered := 0
	for c := range f.offered {
		for b := triggerAt / bucketWidth; b < triggerEnd/bucketWidth; b++ {
			offered += f.offered[c][b]
		}
	}
	seconds := (triggerEnd - triggerAt).Seconds()
	return float64(f.answeredInTrigger) / min(fits*seconds, float64(offered))
}

// orders returns the share of answered orders among those that arrived during
// the trigger and while the upstream was up.
func (f *fake) orders() float64 {
	from := triggerAt
	if f.restart {
		from += downFor
	}
	return f.share(int(contract.ClassOrder), from, triggerEnd)
}

// noRecovery is close to the longest recovery time that recovery can measure.
const noRecovery = horizon - triggerEnd - 2*rootTimeout - 2*time.Second

var triggers = []struct {
	trigger
	goodput, orders float64 // targets for PolicyAdaptive
}{
	{trigger{name: "slow deep x5", slow: 5}, 0.8, 0.999},
	{trigger{name: "surge x2", surge: 2}, 0.9, 0.999},
	{trigger{name: "surge x10", surge: 10}, 0.8, 0.999},
	{trigger{name: "half the workers lost", lostWorkers: workers / 2}, 0.8, 0.999},
	{trigger{name: "restart cold", restart: true}, 0.6, 0.999},
	{trigger{name: "slots x4", slotsFactor: 4}, 0.95, 0.999},
	{trigger{name: "load endpoint flapping", slotsFlapping: true}, 0.95, 0.999},
	{trigger{name: "slots x4 + surge x2", slotsFactor: 4, surge: 2}, 0.9, 0.999},
	{trigger{name: "slots x4 + surge x10", slotsFactor: 4, surge: 10}, 0.8, 0.999},
	{trigger{name: "slots x4 + slow deep x5", slotsFactor: 4, slow: 5}, 0.8, 0.999},
	{trigger{name: "slow deep x5 + surge x2", slow: 5, surge: 2}, 0.8, 0.999},
	{trigger{name: "surge x2 + half lost", surge: 2, lostWorkers: workers / 2}, 0.8, 0.999},
	{trigger{name: "restart cold + surge x2", restart: true, surge: 2}, 0.6, 0.999},
	{trigger{name: "surge x2, ingress", surge: 2, ingress: true}, 0.9, 0.999},
	{trigger{name: "surge x10, ingress", surge: 10, ingress: true}, 0.8, 0.999},
	{trigger{name: "slow x5, ingress", slow: 5, ingress: true}, 0.8, 0.999},
	{trigger{name: "flapping + surge x10", slotsFlapping: true, surge: 10}, 0.8, 0.999},
}

// TestTriggers prints the table of docs/design/recovery.md with -v.
func TestTriggers(t *testing.T) {
	names := []string{"adaptive", "none, 3 retries", "fixed coin"}
	lines := make([]string, len(triggers)*len(names))
	t.Run("rows", func(t *testing.T) {
		for i := range lines {
			row, policy := triggers[i/len(names)], Policy(i%len(names))
			if row.ingress && policy != PolicyAdaptive {
				continue // the comparison policies announce no thresholds
			}
			t.Run(row.name+"/"+names[policy], func(t *testing.T) {
				t.Parallel()
				goodput, orders, recovery := measureTrigger(row.trigger, policy)
				took := fmt.Sprintf("%.1f s", recovery.Seconds())
				if recovery > noRecovery {
					took = "none"
				}
				lines[i] = fmt.Sprintf("%-24s | %-16s | %7.1f%% | %7.2f%% | %s", row.name, names[policy], 100*goodput, 100*orders, took)
				if policy == PolicyAdaptive && (goodput < row.goodput || orders < row.orders || recovery > 5*time.Second) {
					t.Errorf("goodput %.3f, orders %.4f, recovery %v; want at least %.3f, %.4f, at most 5s",
						goodput, orders, recovery, row.goodput, row.orders)
				}
			})
		}
	})
	t.Logf("\ntrigger                  | policy           | goodput  | orders   | recovery\n%s", strings.Join(slices.DeleteFunc(lines, func(l string) bool { return l == "" }), "\n"))
}

// measureTrigger runs the trigger with three seeds, or with one for a
// comparison policy, and returns the mean goodput, the mean share of answered
// orders and the longest recovery.
func measureTrigger(tr trigger, policy Policy) (goodput, orders float64, recovery time.Duration) {
	seeds := 3
	if policy != PolicyAdaptive {
		seeds = 1
	}
	cfg := DefaultConfig(workers * max(tr.slotsFactor, 1))
	cfg.Policy = policy
	for seed := range seeds {
		f := runFake(tr, cfg, int64(seed+1))
		goodput += f.goodput() / float64(seeds)
		orders += f.orders() / float64(seeds)
		recovery = max(recovery, f.recovery())
	}
	return goodput, orders, recovery
}

// TestMetastableStates causes each state in which a system without limits stays
// overloaded after the trigger has ended. It checks that PolicyNone does stay
// in it and that PolicyAdaptive recovers.
func TestMetastableStates(t *testing.T) {
	for _, row := range []struct {
		state string
		trigger
	}{
		{"retry storm", trigger{surge: 2}},
		{"stale queue", trigger{surge: 2, noRepeats: true}},
		{"callers piled up behind a slow dependency", trigger{slow: 5}},
		{"cold restart", trigger{restart: true}},
		{"capacity loss", trigger{lostWorkers: workers / 2}},
	} {
		t.Run(row.state, func(t *testing.T) {
			t.Parallel()
			checkMetastable(t, row.trigger)
		})
	}
}

func checkMetastable(t *testing.T, tr trigger) {
	cfg := DefaultConfig(workers)
	if got := runFake(tr, cfg, 9).recovery(); got > 5*time.Second {
		t.Errorf("adaptive takes %v to recover, want at most 5s", got)
	}
	cfg.Policy = PolicyNone
	if got := runFake(tr, cfg, 9).recovery(); got < noRecovery {
		t.Errorf("without limits it recovers after %v, so the trigger does not cause the state", got)
	}
}
