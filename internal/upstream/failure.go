package upstream

import (
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

// readFailed returns the outcome of a request whose answer could not be read.
func readFailed(ctx context.Context, written int64, answer *fasthttp.Response, err error) Outcome {
	out := failed(ctx, written, stepRead, err)
	if out.Reason != contract.ReasonUpstreamFailed {
		return out
	}
	if isTooLarge(err) {
		out.Reason = contract.ReasonTooLarge
	} else if errors.IsAny(err, errNoFraming, errUnprovenEnd) || answer.Header.ContentLength() != 0 || len(answer.Body()) > 0 {
		out.Reason = contract.ReasonPartialAnswer
	}
	return out
}

// isTooLarge reports whether an answer took more bytes or memory than it may.
func isTooLarge(err error) bool {
	return errors.IsAny(err, fasthttp.ErrBodyTooLarge, errTooManyBytes, errNoMemory)
}

// failed returns the outcome for an error of the connection. A request of which
// no byte was written was not run.
func failed(ctx context.Context, written int64, step string, err error) Outcome {
	verdict := contract.MayHaveRun
	if written == 0 {
		verdict = contract.NotRun
	}
	if errors.Is(err, errBodyEnded) {
		return Outcome{Verdict: verdict, Reason: contract.ReasonCancelled, Detail: err.Error()}
	}
	var timeout interface{ Timeout() bool } // fasthttp's timeout error is not a net.Error
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return contextOutcome(ctx, verdict)
	}
	return Outcome{Verdict: verdict, Reason: contract.ReasonUpstreamFailed, Detail: step + ": " + describe(err)}
}

// isNetwork reports whether an error is one of the connection.
func isNetwork(err error) bool {
	var network *net.OpError
	return errors.As(err, &network)
}

// describe returns a text for an error that quotes nothing of what the upstream
// sent, which may belong to another caller. The errors of the HTTP library quote
// it.
func describe(err error) string {
	for _, own := range []error{errStaleAnswers, errNoFraming, errUnprovenEnd, errNoStatus, errBadField, errBadChunks, errTooManyInterim, errTooManyBytes, errNoMemory, fasthttp.ErrBodyTooLarge, io.ErrUnexpectedEOF, io.EOF} {
		if errors.Is(err, own) {
			return own.Error()
		}
	}
	var network *net.OpError
	if errors.As(err, &network) {
		return network.Error()
	}
	return "bytes are no answer"
}

// contextOutcome returns the outcome of a request that was cancelled or that ran
// into its deadline.
func contextOutcome(ctx context.Context, verdict contract.Verdict) Outcome {
	reason := contract.ReasonDeadline
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = contract.ReasonCancelled
	}
	return Outcome{Verdict: verdict, Reason: reason}
}
