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

// id returns an order id generated at a time, in seconds after the epoch.
func id(seconds float64) contract.OrderID {
	made, _ := newID(at(seconds), strings.NewReader(strings.Repeat("x", 16)))
	return made
}

// operation is one operation at a home, on an order generated at the epoch.
// Unset fields take their usual values.
type operation struct {
	op      string // begin, sent, end, abandon, lookup, expire, close or import
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
	ran    = Answer{Verdict: contract.Ran, Status: 201, Body: []byte("body"), VM: "vm1"}
	notRun = Answer{Verdict: contract.NotRun, Reason: contract.ReasonOverload}
	first  = Attempt{Known: true}
	second = Attempt{Known: true, Number: 1}
)

func TestTableDecisions(t *testing.T) {
	begin := func(now float64, want string) operation { return operation{op: "begin", now: now, want: want} }
	end := func(now float64, a Answer) operation { return operation{op: "end", now: now, answer: a} }
	run := begin(1, "run")
	for name, operations := range map[string][]operation{
		"repetition while running":                   {run, begin(2, "running may-have-run order-running")},
		"repetition after the answer":                {run, end(2, ran), begin(599, "recorded ran none body")},
		"repetition after a missing answer":          {run, {op: "sent"}, {op: "abandon", now: 2}, begin(3, "recorded may-have-run link-lost ")},
		"abandoned before sending":                   {run, {op: "abandon", now: 2}, begin(2.5, "refused may-have-run link-lost"), begin(3.1, "run")},
		"late end is ignored":                        {run, {op: "sent"}, {op: "abandon", now: 2}, end(3, ran), begin(4, "recorded may-have-run link-lost ")},
		"second end is ignored":                      {run, end(2, ran), end(3, notRun), begin(9, "recorded ran none body")},
		"different content":                          {run, {op: "begin", now: 2, content: 7, want: "refused may-have-run bad-request"}},
		"same id of another owner":                   {run, {op: "begin", now: 2, owner: "teranga", want: "run"}},
		"copy received before the verdict not run":   {run, end(2, notRun), {op: "begin", now: 9, attempt: Attempt{Received: at(2.9)}, want: "refused may-have-run overload"}},
		"copy received after the verdict not run":    {run, end(2, notRun), {op: "begin", now: 9, attempt: Attempt{Received: at(3.1)}, want: "run"}},
		"numbered later attempt right after not run": {{op: "begin", now: 1, attempt: first, want: "run"}, end(2, notRun), {op: "begin", now: 2, attempt: second, want: "run"}},
		"numbered earlier attempt after not run":     {{op: "begin", now: 1, attempt: second, want: "run"}, end(2, notRun), {op: "begin", now: 2, attempt: first, want: "refused may-have-run overload"}},
		"id older than the horizon":                  {begin(600, "refused may-have-run order-expired")},
		"first attempt, id older than the horizon":   {{op: "begin", now: 601, attempt: first, want: "refused not-run order-expired"}},
		"clock steps back after expiry":              {run, end(2, ran), {op: "expire", now: 602}, begin(599, "refused may-have-run order-expired")},
		"kept until the horizon":                     {run, end(2, ran), {op: "expire", now: 599.9}, begin(599.9, "recorded ran none body")},
		"still running past the horizon":             {run, {op: "expire", now: 700}, end(701, ran), {op: "expire", now: 702, want: "0 records"}},
		"id from the future":                         {{op: "begin", now: 1, made: 2.5, want: "refused may-have-run bad-request"}},
		"id within the clock margin ahead":           {{op: "begin", now: 1, made: 1.9, want: "run"}},
		"beyond the limit of the home":               {{op: "begin", now: 1, limit: -1, want: "refused may-have-run order-home"}},
		"at the limit of the home":                   {{op: "begin", now: 1, made: 1.5, limit: 1.5, want: "refused may-have-run order-home"}},
		"beyond the limit, first attempt":            {{op: "begin", now: 1, limit: -1, attempt: first, want: "refused not-run order-home"}},
		"beyond the limit, order recorded":           {run, end(2, ran), {op: "begin", now: 3, limit: -1, want: "recorded ran none body"}},
		"table full":                                 {run, {op: "begin", made: 1, now: 1, want: "run"}, {op: "begin", made: 2, now: 2, want: "refused may-have-run limit"}, end(3, ran), begin(4, "recorded ran none body")},
		"table full, first attempt":                  {run, {op: "begin", made: 1, now: 1, want: "run"}, {op: "begin", made: 2, now: 2, attempt: first, want: "refused not-run limit"}},
		"answer too large to keep":                   {run, end(2, Answer{Verdict: contract.Ran, Body: make([]byte, 101)}), begin(3, "recorded may-have-run too-large ")},
		"closed table":                               {run, {op: "close"}, {op: "begin", made: 1, now: 1, want: "refused may-have-run leaving"}, end(2, ran), begin(3, "recorded ran none body")},
		"closed after not run":                       {run, end(2, notRun), {op: "close"}, begin(9, "recorded not-run overload ")},
		"successor, record transferred":              {run, end(2, ran), {op: "import", now: 3}, {op: "lookup", now: 4, want: "recorded ran none body"}},
		"successor, order was running":               {run, {op: "import", now: 3}, {op: "lookup", now: 4, want: "recorded may-have-run order-unknown "}},
		"successor, record not transferred":          {{op: "import", now: 3}, {op: "lookup", now: 4, want: "mayhaverun may-have-run order-unknown"}},
		"successor, first attempt":                   {{op: "import", now: 3}, {op: "lookup", now: 4, attempt: first, want: "refused not-run order-home"}},
		"successor, different content":               {run, {op: "import", now: 3}, {op: "lookup", now: 4, content: 7, want: "refused may-have-run bad-request"}},
		"successor, id older than the horizon":       {run, end(2, ran), {op: "import", now: 3}, {op: "lookup", now: 600, want: "refused may-have-run order-expired"}},
	} {
		table := NewTable(Config{MaxRecords: 2, MaxBytes: 100})
		for i, e := range operations {
			if got := apply(&table, e); got != e.want {
				t.Errorf("%s, operation %d: got %q, want %q", name, i, got, e.want)
			}
		}
	}
}

func apply(table **Table, e operation) string {
	t, now, order := *table, at(e.now), id(e.made)
	owner, limit := e.owner+"filao", at(1000)
	if e.limit != 0 {
		limit = at(e.limit)
	}
	switch e.op {
	case "begin":
		return describe(t.Begin(now, order, owner, "cut", e.content, limit, e.attempt))
	case "lookup":
		return describe(t.Lookup(now, order, owner, "cut", e.content, e.attempt))
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

func describe(d Decision) string {
	name := [...]string{"mayhaverun", "run", "recorded", "running", "refused"}[d.Kind]
	switch d.Kind {
	case DecisionRun:
		return name
	case DecisionRecorded:
		return fmt.Sprint(name, " ", d.Verdict, " ", d.Reason, " ", string(d.Answer.Body))
	}
	return fmt.Sprint(name, " ", d.Verdict, " ", d.Reason)
}

func TestExecutorRefusesDuplicates(t *testing.T) {
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
		{9, 0, 0, 1, 3, "mayhaverun may-have-run order-running"}, // duplicate after the deadline: it may have run
		{9, 0, 1, 1, 3, "refused not-run deadline"},
		{9, 0, 1, 1, 10, "run"},
		{9, 0, 0, 8, 10, "run"}, // first dispatch for a later copy, after a verdict not run
		{9, 1, 0, 9, 10, "refused not-run limit"},
		{601, 0, 0, 1, 3, "mayhaverun may-have-run order-expired"},
		{601, 500, 0, 601, 602, "run"},
	} {
		if got := describe(e.Accept(at(c.now), id(c.made), "filao", "cut", c.number, at(c.received), at(c.notAfter))); got != c.want {
			t.Errorf("dispatch %d: got %q, want %q", i, got, c.want)
		}
	}
}

// TestConcurrentCopiesRunOnce guards against two concurrent copies of an order
// that both run.
func TestConcurrentCopiesRunOnce(t *testing.T) {
	shared, runs := NewSyncTable(Config{}), make(chan DecisionKind, 50)
	var all sync.WaitGroup
	for range cap(runs) {
		all.Go(func() {
			if d := shared.Begin(at(1), id(0), "filao", "cut", 1, at(9), Attempt{}); d.Kind != DecisionRunning {
				runs <- d.Kind
			}
		})
	}
	all.Wait()
	if len(runs) != 1 || <-runs != DecisionRun || shared.table.Running() != 1 {
		t.Errorf("%d copies got no DecisionRunning, %d orders running; want 1 of each", len(runs)+1, shared.table.Running())
	}
}

// TestOrdersDuringStoreOutage guards against orders that stop when the store
// is down for an hour although a majority of the witnesses answers, and
// against orders that run on the minority side.
func TestOrdersDuringStoreOutage(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	members := make([]homes.Home, len(names))
	participants := make([]*homes.Participant, len(names))
	for i, vm := range names {
		members[i] = homes.Home{VM: vm, Incarnation: 1}
		participants[i] = homes.NewParticipant(members[i], "cutdesk")
	}
	d, _ := homes.Editor{}.Edit(epoch, nil, map[string][]homes.Home{"cutdesk": members})
	value, _ := d.Encode()
	for _, p := range participants {
		if _, err := p.Offer(1, value); err != nil {
			t.Fatal(err)
		}
	}
	for second := 1; second <= 3600; second += 3 {
		now := at(float64(second))
		for i, p := range participants { // partition: a, b and c on one side, d and e on the other
			request, _ := p.Ask(now)
			for j, w := range participants {
				if j != i && (i < 3) == (j < 3) {
					p.HandleConfirmation(members[j], w.Answer(now, request))
				}
			}
		}
		for i, p := range participants {
			_, _, limit := p.HomeOf(id(float64(second)))
			table := NewTable(Config{})
			got := table.Begin(now, id(float64(second)), "filao", "cut", 1, limit, Attempt{}).Kind == DecisionRun
			if want := i < 3 || now.Before(epoch.Add(homes.ActivationDelay-homes.ClockMargin)); got != want {
				t.Fatalf("%s after %d s: got run %t", names[i], second, got)
			}
		}
	}
	// FreshID returns only ids whose home is reachable while d and e are not.
	for range 100 {
		made, ok := FreshID(at(3600), d, "cutdesk", func(h homes.Home) bool { return h.VM < "d" }, randomBytes)
		if home, _ := d.Home("cutdesk", made); !ok || home.VM >= "d" {
			t.Fatalf("got id with home %s, ok %t; want a reachable home", home.VM, ok)
		}
	}
	if _, ok := FreshID(at(3600), d, "cutdesk", func(homes.Home) bool { return false }, randomBytes); ok {
		t.Error("got an id although no home is reachable")
	}
}

// TestNotRunOnlyForFirstAttempt guards against a node that cannot consult the
// record and returns "not run" for a copy that may not be the only one.
func TestNotRunOnlyForFirstAttempt(t *testing.T) {
	for _, c := range []struct {
		known   bool
		attempt uint32
		want    contract.Verdict
	}{{true, 0, contract.NotRun}, {true, 1, contract.MayHaveRun}, {false, 0, contract.MayHaveRun}} {
		if got := UnreachableVerdict(c.known, c.attempt, id(0), homes.Home{}); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

func BenchmarkBeginSentEnd(b *testing.B) {
	t, n := NewTable(Config{MaxRecords: 1 << 30, MaxBytes: 1 << 40}), 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		now := epoch.Add(time.Duration(n) * 5 * time.Millisecond) // 200 orders per second
		made, _ := newID(now, randomBytes)
		t.Begin(now, made, "filao", "cut", 1, now.Add(time.Minute), Attempt{})
		t.MarkSent(now, made, "filao", "cut")
		t.End(now, made, "filao", "cut", Answer{Verdict: contract.Ran})
		t.Expire(now)
	}
}

// BenchmarkRecord reports the memory used by a record without headers and
// body.
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
