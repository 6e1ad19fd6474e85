package poison

import (
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// crash records the end of an instance under a request that another node knows
// nothing of yet.
func crash(t *Table, now time.Time, k Key, instance string, alone bool) Standing {
	return t.Ended(now, k, EndOf("vm", instance), alone)
}

func wantState(t *testing.T, when string, s Standing, want State) {
	t.Helper()
	if s.State != want {
		t.Errorf("%s: got %v, want %v", when, s.State, want)
	}
}

func TestStandingAfterEnds(t *testing.T) {
	tb := New()
	wantState(t, "nothing known", tb.Standing(epoch, 1), Free)
	wantState(t, "one end", crash(tb, epoch, 1, "a", true), Free)
	wantState(t, "the same end again", crash(tb, epoch, 1, "a", true), Free)
	wantState(t, "two ends", crash(tb, epoch, 1, "b", true), Probation)
	wantState(t, "beside others on probation", crash(tb, epoch, 1, "c", false), Probation)
	s := crash(tb, epoch, 1, "d", true)
	wantState(t, "alone", s, Rejected)
	if s.Ends != 4 || s.Wait != firstRejection {
		t.Errorf("got %d ends and a wait of %v, want 4 and %v", s.Ends, s.Wait, firstRejection)
	}
	wantState(t, "another request", tb.Standing(epoch, 2), Free)
}

func TestRejectionEndsAndGrows(t *testing.T) {
	tb, now := New(), epoch
	crash(tb, now, 1, "a", false)
	crash(tb, now, 1, "b", false)
	for i, want := range []time.Duration{firstRejection, secondRejection, laterRejection, laterRejection} {
		crash(tb, now, 1, string(rune('c'+i)), true)
		wantState(t, "just before its end", tb.Standing(now.Add(want-1), 1), Rejected)
		now = now.Add(want)
		wantState(t, "after its end", tb.Standing(now, 1), Probation)
	}
	wantState(t, "long after its end", tb.Standing(now.Add(rejectedAge+1), 1), Free)
}

func TestProbationIsForgotten(t *testing.T) {
	tb := New()
	crash(tb, epoch, 1, "a", false)
	crash(tb, epoch, 1, "b", false)
	wantState(t, "at its age", tb.Standing(epoch.Add(probationAge), 1), Probation)
	wantState(t, "after it", tb.Standing(epoch.Add(probationAge+1), 1), Free)
	wantState(t, "one end after it", crash(tb, epoch.Add(probationAge+1), 1, "c", false), Free)
}

func TestCompleteAnswerClearsAllEnds(t *testing.T) {
	tb := New()
	for _, instance := range []string{"a", "b", "c"} {
		crash(tb, epoch, 1, instance, true)
	}
	if !tb.Answered(epoch, 1) || tb.Answered(epoch, 1) {
		t.Error("want the first answer alone to clear ends")
	}
	wantState(t, "after the answer", tb.Standing(epoch, 1), Free)
	wantState(t, "an old end again", crash(tb, epoch, 1, "a", true), Free)
	if tb.Answered(epoch, 2) {
		t.Error("an answer to a request without ends cleared some")
	}
}

// passOn passes on what one table has learnt, as one session does.
func passOn(now time.Time, from, to *Table, sequence uint64) uint64 {
	reports, latest := from.Since(now, sequence)
	to.Merge(now, reports...)
	return latest
}

func TestEndsOfSeveralNodesAddUp(t *testing.T) {
	a, b, c := New(), New(), New()
	crash(a, epoch, 1, "a", false)
	crash(b, epoch, 1, "b", false)
	passOn(epoch, a, c, 0)
	wantState(t, "one report", c.Standing(epoch, 1), Free)
	passOn(epoch, b, c, 0)
	wantState(t, "two reports", c.Standing(epoch, 1), Probation)
	passOn(epoch, b, c, 0)
	if s := c.Standing(epoch, 1); s.Ends != 2 {
		t.Errorf("a report that was merged twice: got %d ends, want 2", s.Ends)
	}
	d := New()
	passOn(epoch, c, d, 0)
	wantState(t, "passed on", d.Standing(epoch, 1), Probation)
}

func TestReportsMergeInAnyOrder(t *testing.T) {
	owner := New()
	var reports []Report
	for _, instance := range []string{"a", "b"} {
		crash(owner, epoch, 1, instance, false)
		r, _ := owner.Report(epoch, 1)
		reports = append(reports, r)
	}
	owner.Answered(epoch, 1)
	cleared, _ := owner.Report(epoch, 1)
	late := New()
	late.Merge(epoch, cleared, reports[1], reports[0])
	wantState(t, "cleared before the ends arrive", late.Standing(epoch, 1), Free)
	inOrder := New()
	inOrder.Merge(epoch, reports[0], reports[1], cleared)
	wantState(t, "in order", inOrder.Standing(epoch, 1), Free)
}

func TestReportIsAsOldAsItSays(t *testing.T) {
	a, b := New(), New()
	crash(a, epoch, 1, "a", false)
	crash(a, epoch, 1, "b", true)
	crash(a, epoch, 1, "c", true)
	later := epoch.Add(firstRejection / 2)
	passOn(later, a, b, 0)
	if got, want := b.Standing(later, 1).Wait, firstRejection/2; got != want {
		t.Errorf("wait of a report that is %v old: got %v, want %v", firstRejection/2, got, want)
	}
}

func TestSinceReportsChangesOnly(t *testing.T) {
	tb := New()
	crash(tb, epoch, 1, "a", false)
	reports, sequence := tb.Since(epoch, 0)
	if len(reports) != 1 {
		t.Fatalf("got %d reports, want 1", len(reports))
	}
	if reports, _ = tb.Since(epoch, sequence); len(reports) != 0 {
		t.Errorf("nothing changed: got %d reports, want 0", len(reports))
	}
	crash(tb, epoch, 2, "a", false)
	tb.Merge(epoch, Report{Key: 3, Ends: []End{7}})
	if reports, _ = tb.Since(epoch, sequence); len(reports) != 1 || reports[0].Key != 2 {
		t.Errorf("got %+v, want the new request that ended an upstream here alone", reports)
	}
}

func TestTableIsBounded(t *testing.T) {
	tb := New()
	for k := range Key(2 * maxEntries) {
		crash(tb, epoch, k+1, "a", false)
	}
	if got := len(tb.entries); got > maxEntries {
		t.Errorf("got %d entries, want at most %d", got, maxEntries)
	}
	for i := range 3 * maxEnds {
		crash(tb, epoch, 1, string(rune('a'+i)), true)
	}
	if got := tb.Standing(epoch, 1).Ends; got > maxEnds {
		t.Errorf("got %d ends of one request, want at most %d", got, maxEnds)
	}
	later := epoch.Add(probationAge + 1)
	wantState(t, "full of expired entries", crash(tb, later, 5*maxEntries, "a", false), Free)
	if got := crash(tb, later, 5*maxEntries, "b", false); got.Ends != 2 {
		t.Errorf("a table full of expired entries: got %d ends, want 2", got.Ends)
	}
}

// TestAnsweredRequestStaysFreeAfterManyCrashes guards against ends that an answer no
// longer clears because too many were cleared before.
func TestAnsweredRequestStaysFreeAfterManyCrashes(t *testing.T) {
	here, there := New(), New()
	for i := range 4 * maxEnds {
		end := Report{Key: 1, Ends: []End{End(i + 1)}}
		here.Merge(epoch, end)
		there.Merge(epoch, end)
		here.Answered(epoch, 1)
		passOn(epoch, here, there, 0)
		if s := there.Standing(epoch, 1); s.Ends > 0 || here.Standing(epoch, 1).Ends > 0 {
			t.Fatalf("after %d ends, each cleared by an answer: got %+v, want none left", i+1, s)
		}
	}
}

// TestAnsweredRequestIsNotBlamedForLaterCrashes guards against rejecting a request
// that runs often because it ran whenever an upstream crashed.
func TestAnsweredRequestIsNotBlamedForLaterCrashes(t *testing.T) {
	tb, now := New(), epoch
	tb.Answered(now, 1)
	for i := range 5 {
		wantState(t, "answered shortly before", crash(tb, now.Add(answeredAge-1), 1, string(rune('a'+i)), true), Free)
	}
	later := now.Add(2 * answeredAge)
	for i, want := range []State{Free, Probation, Rejected} {
		wantState(t, "answered long before", crash(tb, later, 1, string(rune('a'+i)), true), want)
	}
	for k := range Key(3 * maxAnswered) {
		tb.Answered(later, k)
	}
	if got := len(tb.answered); got > maxAnswered {
		t.Errorf("got %d answered requests kept, want at most %d", got, maxAnswered)
	}
}
