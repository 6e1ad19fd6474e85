package catalogue

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"heathershed/internal/contract"
	"heathershed/internal/order/homes"
	"heathershed/internal/platform/fake"
)

// steps are the commands of the state machine, weighted by their frequency.
var steps = []struct {
	name   string
	weight int
	run    func(m *model, r *rand.Rand) error
}{
	{"edit", 6, func(m *model, r *rand.Rand) error { m.randomEdit(r); return nil }},
	{"concurrent edits", 4, func(m *model, r *rand.Rand) error {
		second := func() { m.randomEdit(r) }
		m.beforeCall = second
		if r.Intn(2) == 0 {
			m.beforeCall = func() { m.beforeCall = second }
		}
		m.randomEdit(r)
		m.beforeCall = nil
		return nil
	}},
	{"send again", 4, func(m *model, r *rand.Rand) error {
		if len(m.edits) > 0 {
			_ = m.send(m.edits[r.Intn(len(m.edits))])
		}
		return nil
	}},
	{"faults", 4, func(m *model, r *rand.Rand) error {
		f := fake.Faults{SkipEvent: 0.3, RepeatEvent: 0.3}
		for range 2 {
			storeFaults[r.Intn(len(storeFaults))].set(&f)
		}
		m.store.SetFaults(f)
		return nil
	}},
	{"no faults", 2, func(m *model, _ *rand.Rand) error { m.store.SetFaults(fake.Faults{}); return nil }},
	{"advance milliseconds", 3, func(m *model, r *rand.Rand) error {
		m.now = m.now.Add(time.Duration(r.Intn(300)) * time.Millisecond)
		m.store.ApplyDueWrites()
		return nil
	}},
	{"watch", 6, func(m *model, r *rand.Rand) error { return m.watch(m.nodes[r.Intn(2)]) }},
	{"list", 2, func(m *model, r *rand.Rand) error { return m.list(m.nodes[r.Intn(2)]) }},
	{"exchange", 8, func(m *model, r *rand.Rand) error {
		return m.exchange(m.nodes[r.Intn(numNodes)], m.nodes[r.Intn(numNodes)], 0)
	}},
	{"corrupt exchange", 1, func(m *model, r *rand.Rand) error {
		return m.exchange(m.nodes[r.Intn(numNodes)], m.nodes[r.Intn(numNodes)], 1+r.Intn(1000))
	}},
	{"restart", 4, func(m *model, r *rand.Rand) error { return m.restart(m.nodes[r.Intn(numNodes)], r.Perm(numNodes)) }},
	{"isolate", 2, func(m *model, r *rand.Rand) error { m.nodes[r.Intn(numNodes)].isolated = true; return nil }},
	{"reconnect", 3, func(m *model, r *rand.Rand) error { m.nodes[r.Intn(numNodes)].isolated = false; return nil }},
	{"advance minutes", 3, func(m *model, r *rand.Rand) error {
		m.now = m.now.Add(time.Duration(r.Intn(8)) * time.Minute)
		m.store.ApplyDueWrites()
		return nil
	}},
	{"orders", 8, func(m *model, _ *rand.Rand) error { return m.runOrders() }},
	{"corrupt store", 1, func(m *model, r *rand.Rand) error { return m.corruptStore(r.Intn(2) == 0) }},
}

// randomEdit issues an edit of up to two entries, based on the current or an
// earlier version.
func (m *model) randomEdit(r *rand.Rand) {
	base := m.base()
	e := Edit{Base: base - min(base, uint64(r.Intn(3)))}
	for _, name := range r.Perm(4)[:1+r.Intn(2)] {
		if r.Intn(4) == 0 {
			e.Delete = append(e.Delete, fmt.Sprintf("k%d", name))
			continue
		}
		e.Upsert = append(e.Upsert, entry(fmt.Sprintf("k%d", name), r.Intn(1000)))
		randomizeKind(e.Upsert[len(e.Upsert)-1].Kind, r)
	}
	_, _ = m.issue(e)
}

// randomizeKind makes two of three kinds orders, and draws services, paths and
// prefixes from a small set so that they collide.
func randomizeKind(k *contract.Kind, r *rand.Rand) {
	k.Method = "POST"
	if r.Intn(3) > 0 {
		k.Idempotent, k.Class = false, contract.ClassOrder
	}
	k.Service = []string{"spanbook", "spanbook", "spanbook", "cutdesk"}[r.Intn(4)]
	if r.Intn(4) == 0 {
		k.Path = []string{"/k0", "/k1", "/*"}[r.Intn(3)]
	}
}

// runOrders sends one order to each path under the stored catalogue, and repeats
// those of the last 10 minutes (homes.Horizon). Each repetition must find the
// record of its first run.
func (m *model) runOrders() error {
	faults := m.store.Faults()
	m.store.SetFaults(fake.Faults{})
	d, err := m.editor().Load(context.Background())
	m.store.SetFaults(faults)
	if err != nil {
		return nil
	}
	c, err := Parse([]byte(d.Text))
	if err != nil {
		return err
	}
	m.executed = slices.DeleteFunc(m.executed, func(o executed) bool { return m.now.Sub(o.at) > homes.Horizon })
	for _, o := range m.executed {
		k, ok := c.Match([]byte("POST"), []byte(o.path))
		if ok && (k.Idempotent || o.record != k.Owner+k.Name+k.Service) {
			return errors.Newf("order to %s ran as %s, would run again in version %d as %s of %s", o.path, o.record, d.Version, k.Name, k.Service)
		}
	}
	for _, path := range []string{"/k0", "/k1", "/k2", "/k3", "/other"} {
		if k, ok := c.Match([]byte("POST"), []byte(path)); ok && k.IsOrder() {
			m.executed = append(m.executed, executed{path, k.Owner + k.Name + k.Service, m.now})
		}
	}
	return nil
}

// executed is an order that ran; record identifies where its record is stored.
type executed struct {
	path, record string
	at           time.Time
}

// corruptStore overwrites the document with an invalid value, and restores it
// after a node has read the invalid one. If readable is set, the value can be
// decoded but its text is invalid.
func (m *model) corruptStore(readable bool) error {
	faults := m.store.Faults()
	m.settle()
	defer m.store.SetFaults(faults)
	ctx := context.Background()
	good, err := m.store.Get(ctx, Key)
	if err != nil {
		return nil
	}
	d, err := Decode(good.Value)
	if err != nil {
		return err
	}
	value := []byte("garbage")
	if readable {
		bad := &Document{Change: Change{Version: d.Version + 1}, Text: "[kind broken]\n"}
		value, _ = bad.Encode()
	}
	broken, err := m.store.Put(ctx, Key, value, good.Version, fmt.Sprint("garbage", good.Version))
	if err != nil {
		return err
	}
	if err := m.list(m.nodes[0]); err != nil {
		return err
	}
	if v := m.nodes[0].version(); v > d.Version {
		return errors.Newf("invalid version %d is active", v)
	}
	_, err = m.store.Put(ctx, Key, good.Value, broken.Version, fmt.Sprint("back", good.Version))
	return err
}

// finish ends all faults and reconnects all nodes. Then every node must reach the
// newest version, and every reported outcome must match the store.
func (m *model) finish() error {
	m.settle()
	for _, n := range m.nodes {
		n.isolated = false
	}
	if err := m.list(m.nodes[0]); err != nil {
		return err
	}
	for _, n := range m.nodes[1:] {
		if err := m.exchange(m.nodes[0], n, 0); err != nil {
			return err
		}
	}
	d, err := m.editor().Load(context.Background())
	if err != nil {
		return err
	}
	for i, n := range m.nodes {
		if n.version() != d.Version {
			return errors.Newf("node %d: got version %d, want the store's %d", i, n.version(), d.Version)
		}
	}
	return m.check()
}

// Runs random sequences of edits, store faults, document exchanges, restarts and
// partitions: 8 x 1,250 sequences of up to 20 commands.
func TestCatalogueStateMachine(t *testing.T) {
	for shard := int64(1); shard <= 8; shard++ {
		t.Run(fmt.Sprint("seed ", shard), func(t *testing.T) {
			t.Parallel()
			parameters := gopter.DefaultTestParameters()
			parameters.Rng.Seed(shard)
			parameters.MinSuccessfulTests = sequencesPerSeed
			parameters.MaxSize = 20
			properties := gopter.NewProperties(parameters)
			properties.Property("no version decreases, no edit is lost, duplicated or misreported", commands.Prop(stateMachine(t, shard)))
			properties.TestingRun(t)
		})
	}
}

const sequencesPerSeed = 1250

func stateMachine(t *testing.T, seed int64) commands.Commands {
	var weighted []interface{}
	for _, s := range steps {
		for range s.weight {
			weighted = append(weighted, s.name)
		}
	}
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newModel(seed) },
		DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
			m := sut.(*model)
			if err := m.finish(); err != nil {
				t.Errorf("%v after %v", err, m.log)
			}
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(gen.OneConstOf(weighted...), gen.Int64()).Map(func(v []interface{}) commands.Command {
				return command(v[0].(string), v[1].(int64))
			})
		},
	}
}

func command(name string, rnd int64) commands.Command {
	return &commands.ProtoCommand{
		Name: fmt.Sprintf("%s(%d)", name, rnd),
		RunFunc: func(sut commands.SystemUnderTest) commands.Result {
			return sut.(*model).step(name, rnd)
		},
		PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
			if err, ok := result.(error); ok {
				return &gopter.PropResult{Status: gopter.PropFalse, Error: err}
			}
			return &gopter.PropResult{Status: gopter.PropTrue}
		},
	}
}

func (m *model) step(name string, rnd int64) error {
	m.log = append(m.log, fmt.Sprintf("%s(%d)", name, rnd))
	for _, s := range steps {
		if s.name == name {
			return s.run(m, rand.New(rand.NewSource(rnd)))
		}
	}
	return errors.Newf("unknown step %q", name)
}
