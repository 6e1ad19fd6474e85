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
	// want holds the grants of the caller's attempts up to the first rejection.
	for budget, want := range [][]int{{0}, {0, 0}, {1, 0}, {2, 0}, {2, 0, 0}, {3, 0, 0}, {3, 1, 0}, {4, 1, 0}} {
		for attempt := range len(want) + 2 {
			grant, ok := RootGrant(budget, attempt)
			if ok != (attempt < len(want)) || ok && grant != want[attempt] {
				t.Errorf("RootGrant(%d, %d): got %d, %v, want grants %v", budget, attempt, grant, ok, want)
			}
		}
	}
	if g, ok := RootGrant(-3, -1); g != 0 || !ok {
		t.Errorf("RootGrant(-3, -1): got %d, %v, want 0, true", g, ok)
	}
}

// tree is a random call tree whose calls at the last hop all fail.
type tree struct {
	rng    *rand.Rand
	policy Policy
	depth  int
	// parallel: upstreams make all their nested calls; otherwise they stop at the
	// first that fails.
	parallel bool
	// loss is the share of attempts whose answer is lost, and detached the share
	// of those during which the parent answers.
	loss, detached float64

	last    map[string]int // attempts at the last hop, by place in the tree
	total   int
	retries int
}

// call runs one attempt at the upstream at the given place with the grant that
// its node received. It returns the number of retries that the node reports as
// spent.
func (tr *tree) call(place string, level, grant int) (spent int) {
	if level == tr.depth {
		tr.last[place]++
		tr.total++
		return 0
	}
	budget := tr.policy.NewBudget(grant)
	reported := -1
	for branch := range 2 {
		tr.nestedCall(fmt.Sprint(place, branch), level+1, budget, &reported)
		if !tr.parallel {
			break
		}
	}
	if reported >= 0 {
		return reported
	}
	return budget.Close()
}

// nestedCall makes attempts, which all fail, until the policy allows no more.
// Sometimes the parent answers, and reports its retries, while an attempt runs.
func (tr *tree) nestedCall(place string, level int, budget *Budget, reported *int) {
	a := Attempt{Kind: &contract.Kind{Idempotent: true}, Reason: contract.ReasonUpstreamFailed, Left: time.Hour}
	for ; ; a.Number++ {
		grant := budget.Draw()
		if *reported < 0 && tr.rng.Float64() < tr.detached {
			*reported = budget.Close()
		}
		spent := tr.call(place, level, grant)
		budget.Settle(grant, spent, tr.rng.Float64() >= tr.loss)
		if _, ok := tr.policy.ShouldRetry(a, tr.rng.Uint64()); !ok || !budget.TakeRetry() {
			return
		}
		tr.retries++
	}
}

// root makes attempts of the caller until one is rejected.
func (tr *tree) root(budget, maxAttempts int) {
	tr.last = map[string]int{}
	for attempt := range maxAttempts {
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

func TestAttemptsAtTheLastHopStayWithinTheBudget(t *testing.T) {
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
			for place, n := range tr.last {
				if n > 1+budget {
					return fmt.Sprintf("%d attempts at %s", n, place)
				}
			}
			if !parallel && tr.total > 1+budget {
				return fmt.Sprintf("%d attempts at the last hop", tr.total)
			}
			return ""
		},
		gen.Int64(), gen.IntRange(0, 12), gen.IntRange(1, 7), gen.Bool(), gen.Float64Range(0, 1), gen.Float64Range(0, 0.5)))
	properties.TestingRun(t)
}

func TestBudgetAgainstRetriesPerHop(t *testing.T) {
	const depth, budget = 7, 3
	for _, parallel := range []bool{false, true} {
		tr := &tree{rng: rand.New(rand.NewSource(1)), depth: depth, parallel: parallel}
		tr.root(budget, 4)
		leaves := len(tr.last)
		t.Logf("parallel=%v: %d calls at the last hop, budget of %d: %d attempts", parallel, leaves, budget, tr.total)
		if tr.total != leaves*(1+budget) && !parallel || tr.total > leaves*(1+budget) {
			t.Errorf("parallel=%v: got %d attempts of %d calls at the last hop, want 1 + budget each (at most, if parallel)", parallel, tr.total, leaves)
		}
	}
	hop := &tree{rng: rand.New(rand.NewSource(1)), policy: PerHop(budget), depth: depth}
	hop.root(budget, 1)
	t.Logf("%d retries per hop: %d attempts", budget, hop.total)
	if hop.total != 1<<(2*depth) {
		t.Errorf("baseline: got %d attempts, want 4^%d", hop.total, depth)
	}
}

func TestBudgetDrawAndSettle(t *testing.T) {
	budget := NewBudget(5)
	a, b, c := budget.Draw(), budget.Draw(), budget.Draw()
	if a != 3 || b != 1 || c != 1 || budget.Draw() != 0 || budget.TakeRetry() || budget.Spent() != 5 {
		t.Fatalf("got grants of %d, %d and %d, spent %d; want 3, 1 and 1, spent 5", a, b, c, budget.Spent())
	}
	budget.Settle(a, 1, true)   // returns 2
	budget.Settle(b, 0, false)  // unanswered: counts as spent
	budget.Settle(c, 99, true)  // can't have spent more than the grant
	budget.Settle(99, 0, true)  // never drawn: returns nothing
	budget.Settle(-5, -7, true) // a negative grant returns nothing
	if got := budget.Spent(); got != 3 {
		t.Errorf("got %d spent, want 3", got)
	}
	if !budget.TakeRetry() || budget.Draw() != 1 || budget.TakeRetry() {
		t.Error("want one retry to take and a grant of one to draw")
	}
	first, second := budget.Close(), budget.Close()
	if first != 5 || second != 5 || budget.TakeRetry() || budget.Draw() != 0 {
		t.Error("a closed budget granted a retry or reported other than 5 as spent")
	}
	if budget.Settle(1, 0, true); budget.Close() != 5 || budget.Draw() != 0 {
		t.Error("a late Settle returned retries that were reported as spent")
	}
}

func TestBudgetInParallel(t *testing.T) {
	const grant = 1000
	budget := NewBudget(grant)
	taken := make([]int, 8)
	var wg sync.WaitGroup
	for i := range taken {
		wg.Go(func() {
			for range grant {
				g := budget.Draw()
				budget.Settle(g, 0, true)
				if budget.TakeRetry() {
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
	if sum != grant || budget.Spent() != grant {
		t.Errorf("got %d retries taken and %d spent, want %d", sum, budget.Spent(), grant)
	}
}

func TestRatioBoundsRetries(t *testing.T) {
	r := NewRatio(0.1, 5)
	allowed := 0
	for range 1000 {
		r.Success()
		if r.Allow() {
			allowed++
		}
	}
	if allowed < 104 || allowed > 105 {
		t.Errorf("got %d retries for 1000 successes, want a tenth and the burst of 5", allowed)
	}
	for range 1000 {
		r.Success()
	}
	for i := range 7 {
		if got := r.Allow(); got != (i < 5) {
			t.Errorf("retry %d without a success: got %v, want only the burst allowed", i, got)
		}
	}
}

func TestShouldRetry(t *testing.T) {
	read, order := &contract.Kind{Idempotent: true}, &contract.Kind{}
	neverRetried := []contract.Reason{
		contract.ReasonUnknownKind, contract.ReasonBadRequest, contract.ReasonTooLarge, contract.ReasonDeadline,
		contract.ReasonLimit, contract.ReasonCancelled, contract.ReasonRetryBudget, contract.ReasonParentEnded,
		contract.ReasonOrderRunning, contract.ReasonOrderUnknown, contract.ReasonOrderExpired, contract.ReasonOrderHome,
		contract.ReasonNone, contract.ReasonHeaderTooLarge, contract.ReasonCrashesUpstream, contract.NumReasons,
		contract.ReasonUnauthenticated, contract.ReasonKeysUnconfirmed, contract.ReasonQuota,
	}
	never := map[contract.Reason]bool{}
	for _, r := range neverRetried {
		never[r] = true
	}
	for r := contract.Reason(0); r <= contract.NumReasons; r++ {
		for _, v := range []contract.Verdict{contract.NotRun, contract.MayHaveRun, contract.Ran} {
			for _, kind := range []*contract.Kind{read, order, nil} {
				want := !never[r] && (v == contract.NotRun || v == contract.MayHaveRun && kind == read)
				_, got := ShouldRetry(Attempt{Kind: kind, Verdict: v, Reason: r, Left: time.Minute}, 7)
				if got != want {
					t.Errorf("ShouldRetry(%v, %v, %v): got %v, want the opposite", r, v, kind, got)
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
		{"wait longer than the time left", Attempt{Reason: contract.ReasonOverload, RetryAfter: 50 * time.Millisecond, Left: 51 * time.Millisecond}, false},
		{"no time left", Attempt{Reason: contract.ReasonLeaving}, false},
		{"deadline passed", Attempt{Reason: contract.ReasonLeaving, Left: -time.Second}, false},
		{"asked to wait too long", Attempt{Reason: contract.ReasonOverload, RetryAfter: time.Minute, Left: time.Hour}, false},
		{"shed everywhere", Attempt{Reason: contract.ReasonOverload, Left: time.Hour, ShedEverywhere: true}, false},
		{"asked for a negative wait", Attempt{Reason: contract.ReasonOverload, RetryAfter: -time.Hour, Left: time.Hour}, true},
		{"many attempts", Attempt{Reason: contract.ReasonLinkLost, Number: 1 << 40, Left: time.Hour}, true},
	}
	for _, c := range cases {
		c.a.Verdict = contract.NotRun
		if wait, got := ShouldRetry(c.a, 1); got != c.want || wait < 0 {
			t.Errorf("%s: got wait %v and retry %v", c.name, wait, got)
		}
	}
	if wait, _ := ShouldRetry(Attempt{Verdict: contract.NotRun, Reason: contract.ReasonLeaving, Left: time.Second}, 9); wait != 0 {
		t.Errorf("first failover: got wait %v, want 0", wait)
	}
}

func TestBackoffIsUniformlyDistributed(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	for number := range 10 {
		var tenths [10]int
		mean := min(backoffBase<<number, backoffMax)
		for range 10000 {
			wait, ok := ShouldRetry(Attempt{Verdict: contract.NotRun, Reason: contract.ReasonQueueTimeout, Number: number, Left: time.Hour}, rng.Uint64())
			if !ok || wait < mean/2 || wait >= mean+mean/2 {
				t.Fatalf("attempt %d: got wait %v, want 0.5 to 1.5 times %v", number, wait, mean)
			}
			tenths[int(wait-mean/2)*10/int(mean)]++
		}
		for i, n := range tenths {
			if n < 800 || n > 1200 {
				t.Errorf("attempt %d: got %d of 10000 waits in tenth %d, want 800 to 1200", number, n, i)
			}
		}
	}
}
