package load

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

const (
	// maxConns bounds the connections to one address.
	maxConns = 8192
	// clientSlack is how much longer than the request's timeout a client waits,
	// so that a verdict can still arrive.
	clientSlack = 500 * time.Millisecond
	dialTimeout = time.Second
)

// request is one HTTP request to a node or an upstream.
type request struct {
	route     Route
	call      uint64
	depth     int
	attempt   int
	callToken string
	order     contract.OrderID
	timeout   time.Duration
}

// answer is the result of one request.
type answer struct {
	// err is set if no answer arrived.
	err     error
	status  int
	verdict contract.Verdict
	reason  contract.Reason
	// hasVerdict is false if the answer names no verdict. Of the answers that
	// come directly from an upstream, only rejections name one.
	hasVerdict bool
	// complete is a complete answer to this very request. partial is an answer
	// with status 200 that is truncated or belongs to another request.
	complete, partial bool
	retryAfter        time.Duration
	root              string
}

// client sends each request once. It is safe for concurrent use.
type client struct {
	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

func newClient() *client { return &client{hosts: make(map[string]*fasthttp.HostClient)} }

func (c *client) host(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hosts[addr]
	if !ok {
		h = &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       30 * time.Second,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			DialTimeout: func(addr string, _ time.Duration) (net.Conn, error) {
				return net.DialTimeout("tcp", addr, dialTimeout)
			},
		}
		c.hosts[addr] = h
	}
	return h
}

// roundTrip sends the request and evaluates the answer.
func (c *client) roundTrip(addr string, r request) answer {
	if r.timeout <= 0 {
		return answer{err: context.DeadlineExceeded}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.write(req, addr)
	if err := c.host(addr).DoTimeout(req, resp, r.timeout+clientSlack); err != nil {
		return answer{err: err}
	}
	return parseAnswer(resp, r)
}

func (r request) write(req *fasthttp.Request, addr string) {
	path := r.route.Path
	if path[len(path)-1] == '/' {
		path += strconv.FormatUint(r.call, 10)
	}
	req.SetRequestURI("http://" + addr + path)
	h := &req.Header
	h.SetMethod(r.route.Method)
	h.Set(headerCall, strconv.FormatUint(r.call, 10))
	h.Set(headerDepth, strconv.Itoa(r.depth))
	h.Set(contract.HeaderTimeout, strconv.FormatInt(max(1, r.timeout.Milliseconds()), 10))
	if r.callToken != "" {
		h.Set(contract.HeaderCall, r.callToken)
	}
	if r.depth == 0 {
		h.Set(contract.HeaderAttempt, strconv.Itoa(r.attempt))
	}
	if !r.order.IsZero() {
		h.Set(contract.HeaderOrder, r.order.String())
	}
	if r.route.Method == fasthttp.MethodPost {
		req.SetBodyString("order")
	}
}

func parseAnswer(resp *fasthttp.Response, r request) answer {
	h := &resp.Header
	a := answer{
		status: resp.StatusCode(),
		root:   string(h.Peek(contract.HeaderRoot)),
		reason: parseReason(string(h.Peek(contract.HeaderReason))),
	}
	if v := h.Peek(contract.HeaderVerdict); len(v) > 0 {
		a.hasVerdict, a.verdict = true, contract.ParseVerdict(string(v))
	}
	if ms, err := strconv.Atoi(string(h.Peek(contract.HeaderRetryAfter))); err == nil {
		a.retryAfter = time.Duration(ms) * time.Millisecond
	}
	if a.status != fasthttp.StatusOK {
		return a
	}
	a.complete = checkBody(resp.Body(), answerID(r.call, r.order), r.route.Kind)
	a.partial = !a.complete
	return a
}

func parseReason(name string) contract.Reason {
	for i := range contract.NumReasons {
		if r := contract.Reason(i); r.String() == name {
			return r
		}
	}
	return contract.ReasonNone
}
