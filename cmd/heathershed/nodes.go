package main

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"heathershed/internal/catalogue"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/report"
)

const (
	// maxParallel bounds the nodes that are queried concurrently.
	maxParallel = 32
	// maxAnswer bounds the answer of a node, in bytes.
	maxAnswer = 64 << 20
)

// nodeClient calls the operator endpoints of nodes. It sends each call once.
type nodeClient struct {
	http *fasthttp.Client
}

func newNodeClient() *nodeClient {
	return &nodeClient{&fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswer,
	}}
}

// call sends one request and returns a copy of the body.
func (c *nodeClient) call(ctx context.Context, method, address, path string) ([]byte, error) {
	return c.callWith(ctx, method, address, path, "")
}

// callWith is call with credentials; empty for none.
func (c *nodeClient) callWith(ctx context.Context, method, address, path, credentials string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if credentials != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, credentials)
	}
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return nil, errors.Wrapf(err, "node at %s", address)
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		text := strings.TrimSpace(string(response.Body()))
		return nil, errors.Newf("node at %s: %s answers %d: %.200s", address, path, code, text)
	}
	return slices.Clone(response.Body()), nil
}

func (c *nodeClient) getJSON(ctx context.Context, address, path string, to any) error {
	body, err := c.call(ctx, fasthttp.MethodGet, address, path)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(body, to), "node at %s: %s", address, path)
}

// Errors of finding nodes. classify selects the next step by them.
var (
	errNoNode = errors.New("no node answers")
	errNoVM   = errors.New("no such VM")
)

// fleet is every VM that was found, with a list of what could not be reached.
type fleet struct {
	client  *nodeClient
	members []report.Member // sorted by VM
	unseen  []string
}

// discover finds the VMs. It asks the nodes in the settings, each of which
// knows all VMs, and, if no node answers, the store.
func (inv *invocation) discover(ctx context.Context) (*fleet, error) {
	if len(inv.settings.nodes) == 0 && len(inv.settings.platform) == 0 {
		return nil, usagef("no address: give -nodes or -platform, or set HEATHERSHED_NODES or HEATHERSHED_PLATFORM")
	}
	f := &fleet{client: newNodeClient()}
	found := make(map[string]report.Member)
	for _, address := range inv.settings.nodes {
		var members []report.Member
		if err := f.client.getJSON(ctx, address, report.PathMembers, &members); err != nil {
			f.unseen = append(f.unseen, errorText(err))
			continue
		}
		for _, m := range members {
			found[m.VM] = m
		}
	}
	if len(found) == 0 && len(inv.settings.platform) > 0 {
		if err := inv.membersFromStore(ctx, found); err != nil {
			f.unseen = append(f.unseen, errorText(err))
		}
	}
	if len(found) == 0 {
		return nil, errors.Mark(errors.Newf("no node found: %s", strings.Join(append(f.unseen, "none is announced"), "; ")), errNoNode)
	}
	for _, m := range found {
		f.members = append(f.members, m)
	}
	slices.SortFunc(f.members, func(a, b report.Member) int { return strings.Compare(a.VM, b.VM) })
	return f, nil
}

func (inv *invocation) membersFromStore(ctx context.Context, found map[string]report.Member) error {
	store, err := inv.openStore()
	if err != nil {
		return err
	}
	objects, _, err := store.List(ctx, membership.KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "members in the store")
	}
	for _, o := range objects {
		m, err := membership.Decode(o.Key, o.Value)
		if err != nil {
			return err
		}
		found[m.Vm] = report.Member{VM: m.Vm, Service: m.Service, Datacentre: m.Datacentre, Region: m.Region,
			AdminAddress: m.AdminAddress, State: membership.StateName(m.State)}
	}
	return nil
}

// running returns the VMs that are expected to answer.
func (f *fleet) running() []report.Member {
	var list []report.Member
	for _, m := range f.members {
		if m.State != report.StateLeft && m.State != report.StateLapsed {
			list = append(list, m)
		}
	}
	return list
}

// queryAll queries every running VM concurrently and returns the answers sorted
// by VM. VMs that do not answer are added to unseen.
func queryAll[T any](ctx context.Context, f *fleet, query func(context.Context, report.Member) (T, error)) []T {
	members := f.running()
	answers := make([]*T, len(members))
	failed := make([]error, len(members))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallel)
	for i, m := range members {
		group.Go(func() error {
			answer, err := query(ctx, m)
			if err != nil {
				failed[i] = errors.Wrapf(err, "VM %s", m.VM)
				return nil
			}
			answers[i] = &answer
			return nil
		})
	}
	_ = group.Wait()
	var list []T
	for i := range members {
		if failed[i] != nil {
			f.unseen = append(f.unseen, errorText(failed[i]))
			continue
		}
		list = append(list, *answers[i])
	}
	return list
}

// partial returns the error of a partial view, or nil if everything was
// reached.
func (f *fleet) partial() error {
	if len(f.unseen) == 0 {
		return nil
	}
	return &partialError{f.unseen}
}

// newestDocument returns the newest catalogue document that is active at any
// node.
func (f *fleet) newestDocument(ctx context.Context) (*catalogue.Document, error) {
	documents := queryAll(ctx, f, func(ctx context.Context, m report.Member) (*catalogue.Document, error) {
		value, err := f.client.call(ctx, fasthttp.MethodGet, m.AdminAddress, report.PathCatalogue)
		if err != nil {
			return nil, err
		}
		return catalogue.Decode(value)
	})
	if len(documents) == 0 {
		return nil, errors.Newf("no node has a catalogue to show: %s", strings.Join(f.unseen, "; "))
	}
	return slices.MaxFunc(documents, func(a, b *catalogue.Document) int { return int(a.Version) - int(b.Version) }), nil
}
