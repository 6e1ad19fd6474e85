// Package standin serves a fake store over HTTP in place of the platform's
// object API, with faults that can be injected.
//
// To the client a lost answer and an outage look as they do in production: the
// connection is closed without an answer.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	store "heathershed/internal/platform"
	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/wire"
	"heathershed/platform"
)

// applyInterval is the interval at which delayed writes are applied.
const applyInterval = 20 * time.Millisecond

// readTimeout bounds the time that a client's connection may be idle.
const readTimeout = 5 * time.Minute

// Server serves the object API. Create it with New.
type Server struct {
	store *fake.Store
	http  *fasthttp.Server
	ctx   context.Context
	stop  context.CancelFunc
}

// New returns a server over the store. It serves once Serve is called.
func New(f *fake.Store) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{store: f, ctx: ctx, stop: stop}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "heathershed-platform",
		MaxRequestBodySize:    2 * store.MaxValue,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
	}
	return s
}

// Serve accepts connections on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	go s.applyDueWrites()
	return s.http.Serve(l)
}

// applyDueWrites applies delayed writes until the server shuts down.
func (s *Server) applyDueWrites() {
	tick := time.NewTicker(applyInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.store.ApplyDueWrites()
		case <-s.ctx.Done():
			return
		}
	}
}

// Shutdown ends the blocked watches and then the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	return s.http.ShutdownWithContext(ctx)
}

// handle serves one call. The era in the response is that of before the call,
// so that no content of before a restore passes for one of after it.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	era := strconv.FormatUint(s.store.Era(), 10)
	s.serve(c)
	c.Response.Header.Set(platform.HeaderEra, era)
}

func (s *Server) serve(c *fasthttp.RequestCtx) {
	path := string(c.URI().PathOriginal())
	switch path {
	case wire.PathRestore:
		s.restore(c)
		return
	case wire.PathFaults:
		s.faults(c)
		return
	case wire.PathCounts:
		writeJSON(c, s.store.Counts())
		return
	}
	at, err := platform.ParseObjectPath(path)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusNotFound)
		return
	}
	switch {
	case s.store.Rejects():
		c.Error("too many calls", fasthttp.StatusTooManyRequests)
	case at.Name == "":
		s.kind(c, at.Kind)
	default:
		s.object(c, at)
	}
}

// kind serves the calls on all objects of a kind.
func (s *Server) kind(c *fasthttp.RequestCtx, kind string) {
	switch {
	case c.IsPost():
		s.put(c, kind, "")
	case c.IsGet() && c.QueryArgs().Has(platform.ArgWatch):
		s.watch(c, kind)
	case c.IsGet():
		s.list(c, kind)
	default:
		c.Error("GET or POST", fasthttp.StatusMethodNotAllowed)
	}
}

// object serves the calls on one object.
func (s *Server) object(c *fasthttp.RequestCtx, at platform.ObjectPath) {
	key := keyOf(at.Kind, at.Name)
	switch {
	case c.IsGet():
		o, err := s.store.Get(s.ctx, key)
		s.writeObject(c, at.Kind, o, err)
	case c.IsPut():
		s.put(c, at.Kind, at.Name)
	case c.IsDelete():
		base, err := s.base(key, c.QueryArgs().GetUintOrZero(platform.ArgRevision))
		if err == nil {
			err = s.store.Delete(s.ctx, key, base)
		}
		s.writeObject(c, at.Kind, store.Object{Key: key}, err)
	default:
		c.Error("GET, PUT or DELETE", fasthttp.StatusMethodNotAllowed)
	}
}

// put replaces the object called name or, if name is empty, creates the
// object named in the body.
func (s *Server) put(c *fasthttp.RequestCtx, kind, name string) {
	o, err := platform.DecodeObject(c.PostBody())
	if err != nil || (name == "" && o.Name == "") {
		c.Error("object unreadable", fasthttp.StatusBadRequest)
		return
	}
	create := name == ""
	if create {
		name = o.Name
	}
	key := keyOf(kind, name)
	var base store.Version
	if !create {
		if base, err = s.base(key, int(o.Revision)); err != nil {
			writeError(c, err)
			return
		}
	}
	id, value := uuid.NewString(), o.Spec
	if kind == platform.ValueKind {
		if id, value, err = platform.DecodeValue(o.Spec); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	written, err := s.store.Put(s.ctx, key, value, base, id)
	s.writeObject(c, kind, written, err)
}

// base returns the version that a write replaces. A write without a
// revision replaces the current version.
func (s *Server) base(key string, revision int) (store.Version, error) {
	if revision > 0 {
		return store.Version(revision), nil
	}
	o, err := s.store.Get(s.ctx, key)
	return o.Version, err
}

func (s *Server) writeObject(c *fasthttp.RequestCtx, kind string, o store.Object, err error) {
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := encode(kind, o)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(c, json.RawMessage(body))
}

// pageSize is the number of objects in one page of a list.
const pageSize = 500

func (s *Server) list(c *fasthttp.RequestCtx, kind string) {
	objects, v, err := s.store.List(s.ctx, prefixOf(kind))
	if err != nil {
		writeError(c, err)
		return
	}
	after := string(c.QueryArgs().Peek(platform.ArgAfter))
	out := platform.ListBody{AtRev: uint64(v)}
	for _, o := range objects {
		if nameOf(kind, o.Key) <= after {
			continue
		}
		if out.HasMore = len(out.Items) == pageSize; out.HasMore {
			break
		}
		body, err := encode(kind, o)
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		out.Items = append(out.Items, body)
	}
	writeJSON(c, out)
}

func (s *Server) watch(c *fasthttp.RequestCtx, kind string) {
	after := c.QueryArgs().GetUintOrZero(platform.ArgWatch)
	wait := time.Duration(c.QueryArgs().GetUintOrZero(platform.ArgWait)) * time.Millisecond
	if wait <= 0 || wait > wire.MaxWait {
		wait = wire.MaxWait
	}
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	events, next, err := s.store.Watch(ctx, prefixOf(kind), store.Version(after))
	if errors.Is(err, context.DeadlineExceeded) {
		events, next, err = nil, store.Version(after), nil
	}
	if err != nil {
		writeError(c, err)
		return
	}
	out := platform.WatchBody{AtRev: uint64(next)}
	for _, e := range events {
		body, err := encode(kind, e.Object)
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		out.Events = append(out.Events, platform.EventBody{IsGone: e.Deleted, Object: body})
	}
	writeJSON(c, out)
}

// keyOf returns the key of an object in the fake store. Objects of ValueKind,
// which hold the system's own values, keep their name as the key.
func keyOf(kind, name string) string { return prefixOf(kind) + name }

func prefixOf(kind string) string {
	if kind == platform.ValueKind {
		return ""
	}
	return kind + "/"
}

func nameOf(kind, key string) string { return strings.TrimPrefix(key, prefixOf(kind)) }

func encode(kind string, o store.Object) ([]byte, error) {
	spec := o.Value
	if kind == platform.ValueKind {
		var err error
		if spec, err = platform.EncodeValue(o.WriteID, o.Value); err != nil {
			return nil, err
		}
	}
	return platform.EncodeObject(platform.Object{Name: nameOf(kind, o.Key), Revision: uint64(o.Version), Spec: spec})
}

func (s *Server) faults(c *fasthttp.RequestCtx) {
	if c.IsPost() {
		var f fake.Faults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.store.SetFaults(f)
	}
	writeJSON(c, s.store.Faults())
}

// restore returns to an older copy of the content.
func (s *Server) restore(c *fasthttp.RequestCtx) {
	var r wire.Restore
	if err := json.Unmarshal(c.PostBody(), &r); err != nil || r.Age < 0 {
		c.Error("want {\"age_ns\": a number of 0 or more}", fasthttp.StatusBadRequest)
		return
	}
	s.store.Restore(r.Age)
	writeJSON(c, r)
}

// writeError answers with an error of the store in the same way as the
// platform. An error that is not an answer of the platform closes the
// connection.
func writeError(c *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		c.Error("not found", fasthttp.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		c.Error("conflict", fasthttp.StatusConflict)
	case errors.Is(err, store.ErrTooLarge):
		c.Error("too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, store.ErrCompacted):
		c.Error("compacted", fasthttp.StatusGone)
	default:
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { _ = conn.Close() })
	}
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
