package order

import (
	"time"

	"heathershed/internal/contract"
)

// Answer is how an order ended: what its caller and every repeat is told.
type Answer struct {
	// Verdict and Reason are as for any call.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Status, Headers (name and value) and Body are the upstream's where the
	// verdict is Ran. They must not be changed once recorded.
	Status  int
	Headers [][2][]byte
	Body    []byte
	// VM is the VM whose upstream ran or refused the order.
	VM string
}

// size is the number of bytes the answer keeps alive.
func (a *Answer) size() int {
	n := len(a.Body)
	for i := range a.Headers {
		n += len(a.Headers[i][0]) + len(a.Headers[i][1])
	}
	return n
}

// withoutBody is what is kept of an answer that no room is left for: the order
// ran, but its whole answer can't be given again.
func (a *Answer) withoutBody() Answer {
	return Answer{
		Verdict: contract.MayHaveRun,
		Reason:  contract.ReasonTooLarge,
		VM:      a.VM,
	}
}

// Attempt is what is known of one copy of an order, beside its content.
type Attempt struct {
	// Known reports whether the caller numbers its attempts; Number counts from
	// 0. Number 0 says that no other copy was ever sent.
	Known  bool
	Number uint32
	// Received is the wall clock of the node that took the copy from the
	// caller. The zero time counts as now, which fences off less.
	Received time.Time
}

// first reports whether the caller says that no other copy was ever sent.
func (a Attempt) first() bool { return a.Known && a.Number == 0 }

// UnrecordedVerdict is the verdict on a copy that left nothing behind here, by a process
// that can't see the record of the order: "not run" where no other copy
// exists.
func (a Attempt) UnrecordedVerdict() contract.Verdict {
	if a.first() {
		return contract.NotRun
	}
	return contract.MayHaveRun
}

// DecisionKind says what to do with a copy of an order.
type DecisionKind uint8

// The decisions. The zero value is the careful one.
const (
	// DecisionMayHaveRun: answer "may have run"; nothing is known or will be.
	DecisionMayHaveRun DecisionKind = iota
	// DecisionRun: run it now, then End or Abandon it.
	DecisionRun
	// DecisionRecorded: it ended; give the recorded answer.
	DecisionRecorded
	// DecisionRunning: it runs right now; the caller may ask again.
	DecisionRunning
	// DecisionRefused: this copy is not run.
	DecisionRefused
)

// Decision is the answer of Begin.
type Decision struct {
	Kind DecisionKind
	// Verdict and Reason are what the caller is told, for every kind but
	// DecisionRun.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Answer is set for DecisionRecorded.
	Answer Answer
	// RetryAfter, where not 0, is when a repeat may fare better.
	RetryAfter time.Duration
}

func refuse(v contract.Verdict, r contract.Reason) Decision {
	return Decision{Kind: DecisionRefused, Verdict: v, Reason: r}
}
