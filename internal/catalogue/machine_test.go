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

// steps are the commands of the state machine, with how often they come.
var steps = []struct {
	name   string
	weight int
	run    func(m *model, r *rand.Rand) error
}{
	{"edit", 6, func(m *model, r *rand.Rand) error { m.randomEdit(r); return nil }},
	{"two edits", 4, func(m *model, r *rand.Rand) error {
		inner := func() { m.randomEdit(r) }
		m.before = inner
		if r.Intn(2) == 0 {
			m.before = func() { m.before = inner }
		}
		m.randomEdit(r)
		m.before = nil
		return nil
	}},
	{"again", 4, func(m *model, r *rand.Rand) error {
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
	{"time", 3, func(m *model, r *rand.Rand) error {
		m.now = m.now.Add(time.Duration(r.Intn(300)) * time.Millisecond)
		m.store.ApplyDueWrites()
		return nil
	}},
	{"watch", 6, func(m *model, r *rand.Rand) error { return m.watch(m.nodes[r.Intn(2)]) }},
	{"list", 2, func(m *model, r *rand.Rand) error { return m.list(m.nodes[r.Intn(2)]) }},
	{"exchange", 8, func(m *model, r *rand.Rand) error {
		return m.exchange(m.nodes[r.Intn(numNodes)], m.nodes[r.Intn(numNodes)], 0)
	}},
	{"damage", 1, func(m *model, r *rand.Rand) error {
		return m.exchange(m.nodes[r.Intn(numNodes)], m.nodes[r.Intn(numNodes)], 1+r.Intn(1000))
	}},
	{"restart", 4, func(m *model, r *rand.Rand) error { return m.restart(m.nodes[r.Intn(numNodes)], r.Perm(numNodes)) }},
	{"cut", 2, func(m *model, r *rand.Rand) error { m.nodes[r.Intn(numNodes)].isolated = true; return nil }},
	{"heal", 3, func(m *model, r *rand.Rand) error { m.nodes[r.Intn(numNodes)].isolated = false; return nil }},
	{"minutes", 3, func(m *model, r *rand.Rand) error {
		m.now = m.now.Add(time.Duration(r.Intn(8)) * time.Minute)
		m.store.ApplyDueWrites()
		return nil
	}},
	{"orders", 8, func(m *model, _ *rand.Rand) error { return m.orders() }},
	{"garbage", 1, func(m *model, r *rand.Rand) error { return m.garbage(r.Intn(2) == 0) }},
}

// randomEdit issues an edit of up to two entries on the present or an earlier
// version.
func (m *model) randomEdit(r *rand.Rand) {
	base := m.base()
	e := Edit{Base: base - min(base, uint64(r.Intn(3)))}
	for _, name := range r.Perm(4)[:1+r.Intn(2)] {
		if r.Intn(4) == 0 {
			e.Delete = append(e.Delete, fmt.Sprintf("k%d", name))
			continue
		}
		e.Upsert = append(e.Upsert, entry(fmt.Sprintf("k%d", name), r.Intn(1000)))
		asOrder(e.Upsert[len(e.Upsert)-1].Kind, r)
	}
	_, _ = m.issue(e)
}

// asOrder makes two of three kinds orders, and lets them meet on few services,
// paths and prefixes.
func asOrder(k *contract.Kind, r *rand.Rand) {
	k.Method = "POST"
	if r.Intn(3) > 0 {
		k.Idempotent, k.Class = false, contract.ClassOrder
	}
	k.Service = []string{"spanbook", "spanbook", "spanbook", "cutdesk"}[r.Intn(4)]
	if r.Intn(4) == 0 {
		k.Path = []string{"/k0", "/k1", "/*"}[r.Intn(3)]
	}
}

// orders sends one order to each path under the stored catalogue, and repeats
// those of the last ten minutes: each must find the record of its first run.
func (m *model) orders() error {
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
	m.ran = slices.DeleteFunc(m.ran, func(o ran) bool { return m.now.Sub(o.at) > homes.Horizon })
	for _, o := range m.ran {
		k, ok := c.Match([]byte("POST"), []byte(o.path))
		if ok && (k.Idempotent || o.record != k.Owner+k.Name+k.Service) {
			return errors.Newf("order to %s ran as %s, in version %d runs again as %s of %s", o.path, o.record, d.Version, k.Name, k.Service)
		}
	}
	for _, path := range []string{"/k0", "/k1", "/k2", "/k3", "/other"} {
		if k, ok := c.Match([]byte("POST"), []byte(path)); ok && k.IsOrder() {
			m.ran = append(m.ran, ran{path, k.Owner + k.Name + k.Service, m.now})
		}
	}
	return nil
}

// ran is an order that ran, with where its record is kept.
type ran struct {
	path, record string
	at           time.Time
}

// garbage makes somebody else write something invalid over the document, and
// put the good one back after a node has read it.
func (m *model) garbage(readable bool) error {
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
		return errors.Newf("invalid version %d in force", v)
	}
	_, err = m.store.Put(ctx, Key, good.Value, broken.Version, fmt.Sprint("back", good.Version))
	return err
}

// finish ends all faults and cuts; after that every node must reach the newest
// version and every report must be true.
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
			return errors.Newf("node %d has version %d, the store %d", i, n.version(), d.Version)
		}
	}
	return m.check()
}

// The state machine: random sequences of edits, faults, spreading, restarts and
// cuts. 8 x 1,250 sequences of up to 20 commands.
func TestCatalogueStateMachine(t *testing.T) {
	for shard := int64(1); shard <= 8; shard++ {
		t.Run(fmt.Sprint("seed ", shard), func(t *testing.T) {
			t.Parallel()
			parameters := gopter.DefaultTestParameters()
			parameters.Rng.Seed(shard)
			parameters.MinSuccessfulTests = sequences
			parameters.MaxSize = 20
			properties := gopter.NewProperties(parameters)
			properties.Property("no revert, no lost, doubled or wrongly reported edit", commands.Prop(machine(t, shard)))
			properties.TestingRun(t)
		})
	}
}

const sequences = 1250

func machine(t *testing.T, seed int64) commands.Commands {
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
				t.Errorf("%v at the end of %v", err, m.log)
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
	return errors.Newf("no step %q", name)
}
