package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"heathershed/internal/wait"
)

const (
	// pipelined is the number of lookups that a pipelining client sends at once. The first
	// of them works for pipelinedWorkMS, in ms, at most.
	pipelined       = 4
	pipelinedWorkMS = 1000
	// pipelinedPause is the pause between two groups.
	pipelinedPause = 200 * time.Millisecond
)

// pipeliner is a client that sends groups of lookups, each on a connection of its own,
// without waiting for answers. The first one of a group is the slowest.
type pipeliner struct {
	name   string
	target *vm
	rng    *rand.Rand
	ledger *Ledger
}

func (p *pipeliner) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		_ = wait.For(ctx, pipelinedPause)
		if !p.target.shutdownStartedBefore(time.Now().Add(-shutdownNotice)) {
			p.sendGroup(n)
		}
	}
}

// sendGroup sends one group and reads its answers. Those that have run must be answered,
// unless the node was killed.
func (p *pipeliner) sendGroup(n int) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", p.target.clientAddr, probeTimeout)
	if err != nil {
		return // the node may be down
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(requestTimeout + answerSlack))
	attempts := make([]string, pipelined)
	var text strings.Builder
	work := p.rng.IntN(pipelinedWorkMS)
	for i := range attempts {
		attempts[i] = fmt.Sprintf("%s-%d-%d", p.name, n, i)
		p.ledger.RecordSent(attempts[i], false)
		p.ledger.RecordDispatch(attempts[i], p.target.name, began.Add(requestTimeout))
		service := services[p.rng.IntN(len(services))]
		text.WriteString(head(http.MethodGet, fmt.Sprintf("/%s/x?work=%d&size=%d", service, work, callBodySize), attempts[i], ""))
		work = 1
	}
	_, _ = io.WriteString(conn, text.String())
	r := bufio.NewReader(conn)
	for i, attempt := range attempts {
		if err := p.readAnswer(r, attempt); err != nil {
			p.checkUnanswered(attempts[i:], began, err)
			return
		}
	}
}

// readAnswer reads the answer to an attempt and records its outcome.
func (p *pipeliner) readAnswer(r *bufio.Reader, attempt string) error {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, readLimit))
	if err != nil {
		return err
	}
	outcome := outcomeOf(resp.StatusCode)
	p.ledger.RecordOutcome(attempt, outcome)
	if outcome == OutcomeComplete && string(body) != string(Body(attempt, callBodySize)) {
		p.ledger.AddViolation(Partial, attempt, fmt.Sprintf("%d bytes, beginning %.40q", len(body), body))
	}
	return nil
}

// checkUnanswered reports a violation for each attempt without an answer that has run,
// though its node was not killed and its time was not up.
func (p *pipeliner) checkUnanswered(attempts []string, began time.Time, err error) {
	for _, attempt := range attempts {
		p.ledger.RecordOutcome(attempt, OutcomeUnknown)
		if !errors.Is(err, os.ErrDeadlineExceeded) && p.ledger.HasRun(attempt) && p.ledger.NoFaultSince(began, downFault(p.target.name)) {
			p.ledger.AddViolation(Cut, attempt, fmt.Sprintf("ran, and the connection to %s ended without an answer: %v", p.target.name, err))
		}
	}
}
