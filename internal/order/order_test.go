package order

import (
	"fmt"
	"math/rand"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/order/homes"
)

var (
	epoch = time.UnixMilli(1_800_000_000_000)
	// randomBytes is a seeded source of random bytes.
	randomBytes = rand.New(rand.NewSource(1))
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// id is an order id made at a time, in seconds after the epoch.
func id(seconds float64) contract.OrderID {
	made, _ := newID(at(seconds), strings.NewReader(strings.Repeat("x", 16)))
	return made
}

// event is one event at a home, for an order made at the epoch. Each field but
// its own is as usual.
type event struct {
	op      string // begin, sent, end, abandon, lookup, expire, close, import
	now     float64
	made    float64
	owner   string
	content uint64
	limit   float64
	attempt Attempt
	answer  Answer
	want    string
}

var (
	ran    = Answer{Verdict: contract.Ran, Status: 201, Body: []byte("whole"), VM: "vm1"}
	notRun = Answer{Verdict: contract.NotRun, Reason: contract.ReasonOverload}
	first  = Attempt{Known: true}
	second = Attempt{Known: true, Number: 1}
)

func TestTable(t *testing.T) {
	begin := func(now float64, want string) event { return event{op: "begin", now: now, want: want} }
	end := func(now float64, a Answer) event { return event{op: "end", now: now, answer: a} }
	run := begin(1, "run")
	for name, events := range map[string][]event{
		"repeat of a running order":    {run, begin(2, "running may-have-run order-running")},
		"repeat after its answer":      {run, end(2, ran), begin(599, "recorded ran none whole")},
		"repeat after no answer":       {run, {op: "sent"}, {op: "abandon", now: 2}, begin(3, "recorded may-have-run link-lost ")},
		"abandoned before it was sent": {run, {op: "abandon", now: 2}, begin(2.5, "refused may-have-run link-lost"), begin(3.1, "run")},
		"late end changes nothing":     {run, {op: "sent"}, {op: "abandon", now: 2}, end(3, ran), begin(4, "recorded may-have-run link-lost ")},
		"end twice":                    {run, end(2, ran), end(3, notRun), begin(9, "recorded ran none whole")},
		"other content":                {run, {op: "begin", now: 2, content: 7, want: "refused may-have-run bad-request"}},
		"other owner, same id":         {run, {op: "begin", now: 2, owner: "teranga", want: "run"}},
		"copy from before not run":     {run, end(2, notRun), {op: "begin", now: 9, attempt: Attempt{Received: at(2.9)}, want: "refused may-have-run overload"}},
		"copy from after not run":      {run, end(2, notRun), {op: "begin", now: 9, attempt: Attempt{Received: at(3.1)}, want: "run"}},
		"numbered repeat at once":      {{op: "begin", now: 1, attempt: first, want: "run"}, end(2, notRun), {op: "begin", now: 2, attempt: second, want: "run"}},
		"numbered copy from before":    {{op: "begin", now: 1, attempt: second, want: "run"}, end(2, notRun), {op: "begin", now: 2, attempt: first, want: "refused may-have-run overload"}},
		"older than records":           {begin(600, "refused may-have-run order-expired")},
		"first attempt, too old":       {{op: "begin", now: 601, attempt: first, want: "refused not-run order-expired"}},
		"expired, then clock back":     {run, end(2, ran), {op: "expire", now: 602}, begin(599, "refused may-have-run order-expired")},
		"kept to the last moment":      {run, end(2, ran), {op: "expire", now: 599.9}, begin(599.9, "recorded ran none whole")},
		"running past the horizon":     {run, {op: "expire", now: 700}, end(701, ran), {op: "expire", now: 702, want: "0 records"}},
		"from the future":              {{op: "begin", now: 1, made: 2.5, want: "refused may-have-run bad-request"}},
		"clock of the maker ahead":     {{op: "begin", now: 1, made: 1.9, want: "run"}},
		"home not sure":                {{op: "begin", now: 1, limit: -1, want: "refused may-have-run order-home"}},
		"home not sure, at the limit":  {{op: "begin", now: 1, made: 1.5, limit: 1.5, want: "refused may-have-run order-home"}},
		"home not sure, first":         {{op: "begin", now: 1, limit: -1, attempt: first, want: "refused not-run order-home"}},
		"home not sure, known order":   {run, end(2, ran), {op: "begin", now: 3, limit: -1, want: "recorded ran none whole"}},
		"full":                         {run, {op: "begin", made: 1, now: 1, want: "run"}, {op: "begin", made: 2, now: 2, want: "refused may-have-run limit"}, end(3, ran), begin(4, "recorded ran none whole")},
		"full, first":                  {run, {op: "begin", made: 1, now: 1, want: "run"}, {op: "begin", made: 2, now: 2, attempt: first, want: "refused not-run limit"}},
		"answer too large to keep":     {run, end(2, Answer{Verdict: contract.Ran, Body: make([]byte, 101)}), begin(3, "recorded may-have-run too-large ")},
		"closed":                       {run, {op: "close"}, {op: "begin", made: 1, now: 1, want: "refused may-have-run leaving"}, end(2, ran), begin(3, "recorded ran none whole")},
		"closed after not run":         {run, end(2, notRun), {op: "close"}, begin(9, "recorded not-run overload ")},
		"successor, handed over":       {run, end(2, ran), {op: "import", now: 3}, {op: "lookup", now: 4, want: "recorded ran none whole"}},
		"successor, was running":       {run, {op: "import", now: 3}, {op: "lookup", now: 4, want: "recorded may-have-run order-unknown "}},
		"successor, not handed over":   {{op: "import", now: 3}, {op: "lookup", now: 4, want: "mayhaverun may-have-run order-unknown"}},
		"successor, first attempt":     {{op: "import", now: 3}, {op: "lookup", now: 4, attempt: first, want: "refused not-run order-home"}},
		"successor, other content":     {run, {op: "import", now: 3}, {op: "lookup", now: 4, content: 7, want: "refused may-have-run bad-request"}},
		"successor, too old":           {run, end(2, ran), {op: "import", now: 3}, {op: "lookup", now: 600, want: "refused may-have-run order-expired"}},
	} {
		table := NewTable(Config{MaxRecords: 2, MaxBytes: 100})
		for i, e := range events {
			if got := apply(&table, e); got != e.want {
				t.Errorf("%s, event %d: got %q, want %q", name, i, got, e.want)
			}
		}
	}
}

func apply(table **Table, e event) string {
	t, now, order := *table, at(e.now), id(e.made)
	owner, limit := e.owner+"filao", at(1000)
	if e.limit != 0 {
		limit = at(e.limit)
	}
	switch e.op {
	case "begin":
		return show(t.Begin(now, order, owner, "cut", e.content, limit, e.attempt))
	case "lookup":
		return show(t.Lookup(now, order, owner, "cut", e.content, e.attempt))
	case "sent":
		t.MarkSent(now, order, owner, "cut")
	case "end":
		t.End(now, order, owner, "cut", e.answer)
	case "abandon":
		t.Abandon(now, order, owner, "cut", contract.ReasonLinkLost)
	case "close":
		t.Close()
	case "import":
		*table = NewTable(Config{})
		(*table).Import(now, append(t.Export(), &linkpb.OrderRecord{OrderId: []byte("short")}))
	case "expire":
		if t.Expire(now); e.want != "" {
			return fmt.Sprint(t.Len(), " records")
		}
	}
	return ""
}

func show(d Decision) string {
	name := [...]string{"mayhaverun", "run", "recorded", "running", "refused"}[d.Kind]
	switch d.Kind {
	case DecisionRun:
		return name
	case DecisionRecorded:
		return fmt.Sprint(name, " ", d.Verdict, " ", d.Reason, " ", string(d.Answer.Body))
	}
	return fmt.Sprint(name, " ", d.Verdict, " ", d.Reason)
}

func TestExecutor(t *testing.T) {
	e := NewExecutor(Config{MaxRecords: 3})
	for i, c := range []struct {
		now, made float64
		number    uint32
		received  float64
		notAfter  float64
		want      string
	}{
		{1, 0, 0, 1, 3, "run"},
		{2, 0, 0, 1, 3, "mayhaverun may-have-run order-running"},
		{9, 0, 0, 1, 3, "mayhaverun may-have-run order-running"}, // a copy past the deadline: it did run
		{9, 0, 1, 1, 3, "refused not-run deadline"},
		{9, 0, 1, 1, 10, "run"},
		{9, 0, 0, 8, 10, "run"}, // ended as not run, begun again for a later copy
		{9, 1, 0, 9, 10, "refused not-run limit"},
		{601, 0, 0, 1, 3, "mayhaverun may-have-run order-expired"},
		{601, 500, 0, 601, 602, "run"},
	} {
		if got := show(e.Accept(at(c.now), id(c.made), "filao", "cut", c.number, at(c.received), at(c.notAfter))); got != c.want {
			t.Errorf("%d: got %q, want %q", i, got, c.want)
		}
	}
}

// TestKeeper: of many copies at once, one runs.
func TestKeeper(t *testing.T) {
	k, runs := NewSyncTable(Config{}), make(chan DecisionKind, 50)
	var all sync.WaitGroup
	for range cap(runs) {
		all.Go(func() {
			if d := k.Begin(at(1), id(0), "filao", "cut", 1, at(9), Attempt{}); d.Kind != DecisionRunning {
				runs <- d.Kind
			}
		})
	}
	all.Wait()
	if len(runs) != 1 || <-runs != DecisionRun || k.table.Running() != 1 {
		t.Errorf("%d copies not told that the order runs; %d run", len(runs)+1, k.table.Running())
	}
}

// TestStoreDown: for an hour without the store, orders go on where a majority
// of the witnesses answers, and are refused where a minority does.
func TestStoreDown(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	members := make([]homes.Home, len(names))
	guards := make([]*homes.Participant, len(names))
	for i, vm := range names {
		members[i] = homes.Home{VM: vm, Incarnation: 1}
		guards[i] = homes.NewParticipant(members[i], "cutdesk")
	}
	d, _ := homes.Editor{}.Edit(epoch, nil, map[string][]homes.Home{"cutdesk": members})
	value, _ := d.Encode()
	for _, g := range guards {
		if _, err := g.Offer(1, value); err != nil {
			t.Fatal(err)
		}
	}
	for second := 1; second <= 3600; second += 3 {
		now := at(float64(second))
		for i, g := range guards { // a, b and c are cut off from d and e
			question, _ := g.Ask(now)
			for j, w := range guards {
				if j != i && (i < 3) == (j < 3) {
					g.HandleConfirmation(members[j], w.Answer(now, question))
				}
			}
		}
		for i, g := range guards {
			_, _, limit := g.HomeOf(id(float64(second)))
			table := NewTable(Config{})
			got := table.Begin(now, id(float64(second)), "filao", "cut", 1, limit, Attempt{}).Kind == DecisionRun
			if want := i < 3 || now.Before(epoch.Add(homes.ActivationDelay-homes.ClockMargin)); got != want {
				t.Fatalf("%s after %d s: runs %t", names[i], second, got)
			}
		}
	}
	// Callers that ask for an id get one that runs, although d and e are out.
	for range 100 {
		made, ok := FreshID(at(3600), d, "cutdesk", func(h homes.Home) bool { return h.VM < "d" }, randomBytes)
		if home, _ := d.Home("cutdesk", made); !ok || home.VM >= "d" {
			t.Fatalf("id at home %s, %t", home.VM, ok)
		}
	}
	if _, ok := FreshID(at(3600), d, "cutdesk", func(homes.Home) bool { return false }, randomBytes); ok {
		t.Error("an id although no home is reachable")
	}
}

// TestUnreachable: only a caller's first attempt is told "not run" by a node
// that can't see the record.
func TestUnreachable(t *testing.T) {
	for _, c := range []struct {
		known   bool
		attempt uint32
		want    contract.Verdict
	}{{true, 0, contract.NotRun}, {true, 1, contract.MayHaveRun}, {false, 0, contract.MayHaveRun}} {
		if got := UnreachableVerdict(c.known, c.attempt, id(0), homes.Home{}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func BenchmarkBeginSentEnd(b *testing.B) {
	t, n := NewTable(Config{MaxRecords: 1 << 30, MaxBytes: 1 << 40}), 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		now := epoch.Add(time.Duration(n) * 5 * time.Millisecond) // 200 a second
		made, _ := newID(now, randomBytes)
		t.Begin(now, made, "filao", "cut", 1, now.Add(time.Minute), Attempt{})
		t.MarkSent(now, made, "filao", "cut")
		t.End(now, made, "filao", "cut", Answer{Verdict: contract.Ran})
		t.Expire(now)
	}
}

// BenchmarkRecord reports the memory of a record without headers and body.
func BenchmarkRecord(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		t := NewTable(Config{MaxRecords: records})
		before := heap()
		for i := range records {
			now := epoch.Add(time.Duration(i) * 6 * time.Millisecond)
			made, _ := newID(now, randomBytes)
			t.Begin(now, made, "filao", "cut", 1, now.Add(time.Minute), Attempt{})
			t.End(now, made, "filao", "cut", Answer{Verdict: contract.Ran})
		}
		b.ReportMetric(float64(heap()-before)/records, "B/record")
		runtime.KeepAlive(t)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
