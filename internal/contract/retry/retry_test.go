package retry

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"heathershed/internal/contract"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestRootGrant(t *testing.T) {
	// The grants of the caller's attempts, until one is refused.
	for budget, want := range [][]int{{0}, {0, 0}, {1, 0}, {2, 0}, {2, 0, 0}, {3, 0, 0}, {3, 1, 0}, {4, 1, 0}} {
		for attempt := range len(want) + 2 {
			grant, ok := RootGrant(budget, attempt)
			if ok != (attempt < len(want)) || ok && grant != want[attempt] {
				t.Errorf("RootGrant(%d, %d) = %d, %v; want %v", budget, attempt, grant, ok, want)
			}
		}
	}
	if g, ok := RootGrant(-3, -1); g != 0 || !ok {
		t.Errorf("RootGrant(-3, -1) = %d, %v", g, ok)
	}
}

// tree is a random call graph of which every bottom call fails.
type tree struct {
	rng    *rand.Rand
	policy Policy
	depth  int
	// parallel upstreams call all below them, others stop at the first failure.
	parallel bool
	// loss is the share of attempts whose answer is lost, detached of those
	// during which the parent answers already.
	loss, detached float64

	bottom  map[string]int // attempts by place in the tree
	total   int
	retries int
}

// call runs one attempt at the upstream at the given place, with the grant that
// its node received, and returns what the node reports as spent.
func (tr *tree) call(place string, level, grant int) (spent int) {
	if level == tr.depth {
		tr.bottom[place]++
		tr.total++
		return 0
	}
	ledger := tr.policy.NewBudget(grant)
	reported := -1
	for branch := range 2 {
		tr.subCall(fmt.Sprint(place, branch), level+1, ledger, &reported)
		if !tr.parallel {
			break
		}
	}
	if reported >= 0 {
		return reported
	}
	return ledger.Close()
}

// subCall makes attempts until the policy ends them; all fail. Now and then the
// parent answers, and so reports, while an attempt is under way.
func (tr *tree) subCall(place string, level int, ledger *Budget, reported *int) {
	a := Attempt{Kind: &contract.Kind{Idempotent: true}, Reason: contract.ReasonUpstreamFailed, Left: time.Hour}
	for ; ; a.Number++ {
		grant := ledger.Draw()
		if *reported < 0 && tr.rng.Float64() < tr.detached {
			*reported = ledger.Close()
		}
		spent := tr.call(place, level, grant)
		ledger.Settle(grant, spent, tr.rng.Float64() >= tr.loss)
		if _, again := tr.policy.ShouldRetry(a, tr.rng.Uint64()); !again || !ledger.TakeRetry() {
			return
		}
		tr.retries++
	}
}

// root makes attempts of the caller until one is refused.
func (tr *tree) root(budget, maxRepeats int) {
	tr.bottom = map[string]int{}
	for attempt := range maxRepeats {
		grant, ok := tr.policy.RootGrant(budget, attempt)
		if !ok {
			return
		}
		if attempt > 0 {
			tr.retries++
		}
		tr.call("", 0, grant)
	}
}

func TestAttemptsAtTheBottomStayWithinTheBudget(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(11)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("attempts <= 1 + budget", prop.ForAll(
		func(seed int64, budget, depth int, parallel bool, loss, detached float64) string {
			tr := &tree{rng: rand.New(rand.NewSource(seed)), depth: depth, parallel: parallel, loss: loss, detached: detached}
			tr.root(budget, 2*budget+2)
			if tr.retries > budget {
				return fmt.Sprintf("%d retries in the whole tree", tr.retries)
			}
			for place, n := range tr.bottom {
				if n > 1+budget {
					return fmt.Sprintf("%d attempts at %s", n, place)
				}
			}
			if !parallel && tr.total > 1+budget {
				return fmt.Sprintf("%d attempts at the bottom", tr.total)
			}
			return ""
		},
		gen.Int64(), gen.IntRange(0, 12), gen.IntRange(1, 7), gen.Bool(), gen.Float64Range(0, 1), gen.Float64Range(0, 0.5)))
	properties.TestingRun(t)
}

func TestChainOfSevenAgainstRetriesPerHop(t *testing.T) {
	const depth, budget = 7, 3
	for _, parallel := range []bool{false, true} {
		chain := &tree{rng: rand.New(rand.NewSource(1)), depth: depth, parallel: parallel}
		chain.root(budget, 4)
		leaves := len(chain.bottom)
		t.Logf("parallel=%v: %d bottom calls, budget of %d: %d attempts", parallel, leaves, budget, chain.total)
		if chain.total != leaves*(1+budget) && !parallel || chain.total > leaves*(1+budget) {
			t.Errorf("parallel=%v: %d attempts at %d bottom calls", parallel, chain.total, leaves)
		}
	}
	hop := &tree{rng: rand.New(rand.NewSource(1)), policy: PerHop(budget), depth: depth}
	hop.root(budget, 1)
	t.Logf("%d retries per hop: %d attempts", budget, hop.total)
	if hop.total != 1<<(2*depth) {
		t.Errorf("baseline: %d attempts, want 4^%d", hop.total, depth)
	}
}

func TestLedgerAccount(t *testing.T) {
	l := NewBudget(5)
	a, b, c := l.Draw(), l.Draw(), l.Draw()
	if a != 3 || b != 1 || c != 1 || l.Draw() != 0 || l.TakeRetry() || l.Spent() != 5 {
		t.Fatalf("drew %d %d %d of 5, spent %d", a, b, c, l.Spent())
	}
	l.Settle(a, 1, true)   // 2 come back
	l.Settle(b, 0, false)  // unanswered: spent
	l.Settle(c, 99, true)  // can't have spent more than it had
	l.Settle(99, 0, true)  // never drawn: nothing comes back
	l.Settle(-5, -7, true) // nor by negative numbers
	if got := l.Spent(); got != 3 {
		t.Errorf("spent %d, want 3", got)
	}
	if !l.TakeRetry() || l.Draw() != 1 || l.TakeRetry() {
		t.Error("want one retry and one unit to draw")
	}
	first, second := l.Close(), l.Close()
	if first != 5 || second != 5 || l.TakeRetry() || l.Draw() != 0 {
		t.Error("closed ledger still gives")
	}
	if l.Settle(1, 0, true); l.Close() != 5 || l.Draw() != 0 {
		t.Error("a late settlement gave back what was reported as spent")
	}
}

func TestLedgerInParallel(t *testing.T) {
	const grant = 1000
	l := NewBudget(grant)
	taken := make([]int, 8)
	var wg sync.WaitGroup
	for i := range taken {
		wg.Go(func() {
			for range grant {
				g := l.Draw()
				l.Settle(g, 0, true)
				if l.TakeRetry() {
					taken[i]++
				}
			}
		})
	}
	wg.Wait()
	sum := 0
	for _, n := range taken {
		sum += n
	}
	if sum != grant || l.Spent() != grant {
		t.Errorf("%d retries taken, %d spent, want %d", sum, l.Spent(), grant)
	}
}

func TestRatio(t *testing.T) {
	r := NewRatio(0.1, 5)
	allowed := 0
	for range 1000 {
		r.Success()
		if r.Allow() {
			allowed++
		}
	}
	if allowed < 104 || allowed > 105 {
		t.Errorf("%d retries on 1000 successes, want a tenth and the burst of 5", allowed)
	}
	for range 1000 {
		r.Success()
	}
	for i := range 7 {
		if got := r.Allow(); got != (i < 5) {
			t.Errorf("retry %d without success: %v; want the burst and no more", i, got)
		}
	}
}

func TestAgain(t *testing.T) {
	read, order := &contract.Kind{Idempotent: true}, &contract.Kind{}
	helpless := []contract.Reason{
		contract.ReasonUnknownKind, contract.ReasonBadRequest, contract.ReasonTooLarge, contract.ReasonDeadline,
		contract.ReasonLimit, contract.ReasonCancelled, contract.ReasonRetryBudget, contract.ReasonParentEnded,
		contract.ReasonOrderRunning, contract.ReasonOrderUnknown, contract.ReasonOrderExpired, contract.ReasonOrderHome,
		contract.ReasonNone, contract.NumReasons,
	}
	never := map[contract.Reason]bool{}
	for _, r := range helpless {
		never[r] = true
	}
	for r := contract.Reason(0); r <= contract.NumReasons; r++ {
		for _, v := range []contract.Verdict{contract.NotRun, contract.MayHaveRun, contract.Ran} {
			for _, kind := range []*contract.Kind{read, order, nil} {
				want := !never[r] && (v == contract.NotRun || v == contract.MayHaveRun && kind == read)
				_, got := ShouldRetry(Attempt{Kind: kind, Verdict: v, Reason: r, Left: time.Minute}, 7)
				if got != want {
					t.Errorf("Again(%v, %v, %v) = %v", r, v, kind, got)
				}
			}
		}
	}
	cases := []struct {
		name string
		a    Attempt
		want bool
	}{
		{"fits", Attempt{Reason: contract.ReasonOverload, RetryAfter: 50 * time.Millisecond, Left: 70 * time.Millisecond}, true},
		{"wait over the time left", Attempt{Reason: contract.ReasonOverload, RetryAfter: 50 * time.Millisecond, Left: 51 * time.Millisecond}, false},
		{"no time left", Attempt{Reason: contract.ReasonLeaving}, false},
		{"deadline passed", Attempt{Reason: contract.ReasonLeaving, Left: -time.Second}, false},
		{"asked to wait too long", Attempt{Reason: contract.ReasonOverload, RetryAfter: time.Minute, Left: time.Hour}, false},
		{"shed everywhere", Attempt{Reason: contract.ReasonOverload, Left: time.Hour, ShedEverywhere: true}, false},
		{"negative wait asked", Attempt{Reason: contract.ReasonOverload, RetryAfter: -time.Hour, Left: time.Hour}, true},
		{"many attempts", Attempt{Reason: contract.ReasonLinkLost, Number: 1 << 40, Left: time.Hour}, true},
	}
	for _, c := range cases {
		c.a.Verdict = contract.NotRun
		if wait, got := ShouldRetry(c.a, 1); got != c.want || wait < 0 {
			t.Errorf("%s: wait %v, again %v", c.name, wait, got)
		}
	}
	if wait, _ := ShouldRetry(Attempt{Verdict: contract.NotRun, Reason: contract.ReasonLeaving, Left: time.Second}, 9); wait != 0 {
		t.Errorf("first failover waits %v", wait)
	}
}

func TestWaitsAreSpread(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	for number := range 10 {
		var tenths [10]int
		mean := min(backoffBase<<number, backoffMax)
		for range 10000 {
			wait, again := ShouldRetry(Attempt{Verdict: contract.NotRun, Reason: contract.ReasonQueueTimeout, Number: number, Left: time.Hour}, rng.Uint64())
			if !again || wait < mean/2 || wait >= mean+mean/2 {
				t.Fatalf("attempt %d: wait %v around %v", number, wait, mean)
			}
			tenths[int(wait-mean/2)*10/int(mean)]++
		}
		for i, n := range tenths {
			if n < 800 || n > 1200 {
				t.Errorf("attempt %d: %d of 10000 waits in tenth %d", number, n, i)
			}
		}
	}
}
