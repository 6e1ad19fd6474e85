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
	// defaultTimeout applies to requests that name no timeout.
	defaultTimeout = 5 * time.Second
)

// job is one request at an upstream, copied out of fasthttp's buffers.
type job struct {
	route     Route
	call      uint64
	depth     int
	order     contract.OrderID
	callToken string // the node's header that correlates nested calls with this request
	deadline  time.Time
}

func readJob(c *fasthttp.RequestCtx, r Route) job {
	h := &c.Request.Header
	j := job{route: r, callToken: string(h.Peek(contract.HeaderCall))}
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
	if !u.acquireSlot(j.deadline, f) {
		reject(c)
		return
	}
	defer func() { <-u.slots }()
	u.running.Add(1)
	defer u.running.Add(-1)
	u.log.RecordRun(j.call, j.depth, j.order)
	u.work(u.serviceTime(r.ServiceTime, f))
	if !u.callAll(j) {
		c.Error("a sub-call failed", fasthttp.StatusBadGateway)
		return
	}
	body := answerBody(answerID(j.call, j.order), r.Kind, r.AnswerBytes)
	if u.chance(f.Truncate) {
		raw := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		writeAndClose(c, append(raw, body[:len(body)/2]...))
		return
	}
	c.SetContentType("text/plain")
	c.SetBody(body)
}

// reject answers that the request did not run.
func reject(c *fasthttp.RequestCtx) {
	c.Error("full", fasthttp.StatusServiceUnavailable)
	c.Response.Header.Set(contract.HeaderVerdict, contract.NotRun.String())
}

// acquireSlot waits for a slot until the deadline and reports whether it got
// one.
func (u *Upstream) acquireSlot(deadline time.Time, f *UpstreamFaults) bool {
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

// work waits for the time of a run. It returns early if the upstream stops.
func (u *Upstream) work(d time.Duration) {
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

// callAll makes all nested calls of the job concurrently and reports whether all
// answers were complete.
func (u *Upstream) callAll(j job) bool {
	results := make([]bool, len(j.route.NestedCalls))
	var wg sync.WaitGroup
	for i, kind := range j.route.NestedCalls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = u.callNested(j, kind)
		}()
	}
	wg.Wait()
	for _, ok := range results {
		if !ok {
			return false
		}
	}
	return true
}

func (u *Upstream) callNested(j job, kind string) bool {
	r, ok := u.profile.Route(kind)
	if !ok {
		return false
	}
	a := u.nestedClient.roundTrip(u.target(r.Service), request{
		route: r, call: j.call, depth: j.depth + 1, callToken: j.callToken,
		timeout: time.Until(j.deadline),
	})
	return a.complete
}
