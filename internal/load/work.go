package load

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

const (
	// defaultTimeout is for requests that name none.
	defaultTimeout = 5 * time.Second
)

// job is one request at an upstream, copied out of fasthttp's buffers.
type job struct {
	route    Route
	call     uint64
	depth    int
	order    contract.OrderID
	tie      string // the node's header that ties sub-calls to this request
	deadline time.Time
}

func readJob(c *fasthttp.RequestCtx, r Route) job {
	h := &c.Request.Header
	j := job{route: r, tie: string(h.Peek(contract.HeaderCall))}
	j.call, _ = strconv.ParseUint(string(h.Peek(headerCall)), 10, 64)
	j.depth, _ = strconv.Atoi(string(h.Peek(headerDepth)))
	j.order, _ = contract.ParseOrderID(string(h.Peek(contract.HeaderOrder)))
	j.deadline = c.Time().Add(defaultTimeout)
	if ms, err := strconv.Atoi(string(h.Peek(contract.HeaderTimeout))); err == nil {
		j.deadline = c.Time().Add(time.Duration(ms) * time.Millisecond)
	}
	if ms, err := strconv.ParseInt(string(h.Peek(contract.HeaderNotAfter)), 10, 64); err == nil {
		if at := time.UnixMilli(ms); at.Before(j.deadline) {
			j.deadline = at
		}
	}
	return j
}

// serveRoute waits for a slot, runs the request and answers.
func (u *Upstream) serveRoute(c *fasthttp.RequestCtx, r Route, f *UpstreamFaults) {
	j := readJob(c, r)
	if !u.acquire(j.deadline, f) {
		refuse(c)
		return
	}
	defer func() { <-u.slots }()
	u.running.Add(1)
	defer u.running.Add(-1)
	u.log.RecordRun(j.call, j.depth, j.order)
	u.sleep(u.workTime(r.ServiceTime, f))
	if !u.callSubs(j) {
		c.Error("a sub-call failed", fasthttp.StatusBadGateway)
		return
	}
	body := answerBody(answerName(j.call, j.order), r.Kind, r.AnswerBytes)
	if u.chance(f.Truncate) {
		raw := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		hangUp(c, append(raw, body[:len(body)/2]...))
		return
	}
	c.SetContentType("text/plain")
	c.SetBody(body)
}

// refuse answers that the request was not run.
func refuse(c *fasthttp.RequestCtx) {
	c.Error("full", fasthttp.StatusServiceUnavailable)
	c.Response.Header.Set(contract.HeaderVerdict, contract.NotRun.String())
}

// acquire takes a slot before the deadline.
func (u *Upstream) acquire(deadline time.Time, f *UpstreamFaults) bool {
	if !time.Now().Before(deadline) {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if f.RefuseFull || u.waiting.Add(1) > int64(queuePerSlot*u.vm.Slots) {
		if !f.RefuseFull {
			u.waiting.Add(-1)
		}
		return false
	}
	defer u.waiting.Add(-1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-u.done:
		return false
	}
}

// sleep is the work; it ends early when the upstream stops.
func (u *Upstream) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-u.done:
	}
}

// callSubs calls all sub-calls of the job at once and reports whether all
// answers were whole.
func (u *Upstream) callSubs(j job) bool {
	results := make([]bool, len(j.route.SubCalls))
	var wait sync.WaitGroup
	for i, kind := range j.route.SubCalls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = u.callSub(j, kind)
		}()
	}
	wait.Wait()
	for _, ok := range results {
		if !ok {
			return false
		}
	}
	return true
}

func (u *Upstream) callSub(j job, kind string) bool {
	r, ok := u.profile.Route(kind)
	if !ok {
		return false
	}
	a := u.subs.do(u.target(r.Service), request{
		route: r, call: j.call, depth: j.depth + 1, tie: j.tie,
		timeout: time.Until(j.deadline),
	})
	return a.whole
}
