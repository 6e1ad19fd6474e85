package order

import (
	"time"

	"heathershed/internal/contract"
)

// Answer is the final result of an order, returned to its caller and to every
// repetition of the order.
type Answer struct {
	// Verdict and Reason have the same meaning as for any call.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Status, Headers (name and value) and Body are the upstream's response if
	// Verdict is Ran. They must not be modified once recorded.
	Status  int
	Headers [][2][]byte
	Body    []byte
	// VM is the VM whose upstream ran or refused the order.
	VM string
}

// size returns the number of bytes of headers and body that the answer
// retains.
func (a *Answer) size() int {
	n := len(a.Body)
	for i := range a.Headers {
		n += len(a.Headers[i][0]) + len(a.Headers[i][1])
	}
	return n
}

// withoutBody returns the answer recorded in place of one whose headers and
// body no longer fit into Config.MaxBytes. The order ran, but since the
// complete answer cannot be returned, repetitions get MayHaveRun.
func (a *Answer) withoutBody() Answer {
	return Answer{
		Verdict: contract.MayHaveRun,
		Reason:  contract.ReasonTooLarge,
		VM:      a.VM,
	}
}

// Attempt describes one copy of an order, that is, one message that carries
// it, apart from the order's content.
type Attempt struct {
	// Known reports whether the caller numbers its attempts; Number counts
	// from 0. Number 0 states that the caller has sent no other copy.
	Known  bool
	Number uint32
	// Received is the wall-clock time at which the first node received the
	// copy from the caller. The zero time stands for the time of Table.Begin,
	// which is the latest possible one, so that fewer copies are fenced off.
	Received time.Time
}

// first reports whether the caller states that it has sent no other copy.
func (a Attempt) first() bool { return a.Known && a.Number == 0 }

// UnrecordedVerdict returns the verdict on a copy that this process neither
// ran nor recorded, when the process cannot consult the order's record: NotRun
// if no other copy exists, MayHaveRun otherwise.
func (a Attempt) UnrecordedVerdict() contract.Verdict {
	if a.first() {
		return contract.NotRun
	}
	return contract.MayHaveRun
}

// DecisionKind says how to handle one copy of an order.
type DecisionKind uint8

// The decisions. The zero value is the conservative one: it promises nothing.
const (
	// DecisionMayHaveRun: return MayHaveRun. The outcome of the order is
	// unknown and will not become known.
	DecisionMayHaveRun DecisionKind = iota
	// DecisionRun: run the order now, then call End or Abandon.
	DecisionRun
	// DecisionRecorded: the order has ended; return the recorded answer.
	DecisionRecorded
	// DecisionRunning: the order is running; the caller may repeat it later.
	DecisionRunning
	// DecisionRefused: this copy is not run.
	DecisionRefused
)

// Decision is the result of Table.Begin, Table.Lookup and Executor.Accept.
type Decision struct {
	Kind DecisionKind
	// Verdict and Reason are returned to the caller. They are unset for
	// DecisionRun.
	Verdict contract.Verdict
	Reason  contract.Reason
	// Answer is set for DecisionRecorded only.
	Answer Answer
	// RetryAfter, if not 0, is the delay after which a repetition may be
	// accepted.
	RetryAfter time.Duration
}

func refuse(v contract.Verdict, r contract.Reason) Decision {
	return Decision{Kind: DecisionRefused, Verdict: v, Reason: r}
}
