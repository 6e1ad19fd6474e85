package catalogue

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func order(name string, changes ...string) string {
	return entryText(name, append([]string{"class=order", "idempotent=false", "method=POST"}, changes...)...)
}

func repeatable(name string, changes ...string) string {
	return entryText(name, append([]string{"method=POST"}, changes...)...)
}

// Each case is a chain of catalogues with the minutes between them; the last
// one is the edit in question, the ones before it are accepted unless the chain
// begins later than version 1.
func TestOrderKinds(t *testing.T) {
	const soon, late, other = 10, 11, "POST /cut"
	cut, rest := order("cut"), entryText("rest")
	all := order("all", "path=/*")
	for name, c := range map[string]struct {
		chain []string
		wait  int    // minutes before the last edit
		want  string // part of the error; empty: accepted
	}{
		"owner":                    {[]string{cut, order("cut", "owner=x")}, 60, "entry cut: owner: x: an order kind keeps owner = filao"},
		"service":                  {[]string{cut, order("cut", "service=x")}, 60, "entry cut: service: x: an order kind keeps service = spanbook"},
		"method":                   {[]string{cut, order("cut", "method=PUT")}, 60, "entry cut: method: PUT: an order kind keeps"},
		"path":                     {[]string{cut, order("cut", "path=/x")}, 60, "entry cut: path: /x: an order kind keeps"},
		"idempotent":               {[]string{cut, repeatable("cut")}, 60, "entry cut: idempotent: true: an order kind keeps"},
		"other keys":               {[]string{cut, "# why\n" + order("cut", "timeout=9s", "rate=5", "max_answer=1KiB")}, 0, ""},
		"to an order":              {[]string{repeatable("cut"), order("cut", "owner=x", "service=x")}, 0, ""},
		"idempotent kind changes":  {[]string{repeatable("cut"), repeatable("cut", "owner=x", "service=x", "path=/x")}, 0, ""},
		"removed":                  {[]string{cut + rest, rest}, 0, ""},
		"renamed":                  {[]string{cut, order("new", "path=/cut")}, 60, "entry new: path: " + other + " belongs to the order kind cut; choose another path, or first remove cut and wait 12 minutes"},
		"renamed, other order":     {[]string{cut + rest, rest, rest + order("new", "path=/cut")}, soon, "entry new: path: " + other + " belonged to the order kind cut until version 2; choose another path, or add it after 1970-01-01 00:13:00 UTC"},
		"renamed, idempotent":      {[]string{cut + rest, rest, rest + repeatable("new", "path=/cut")}, soon, "entry new: path"},
		"renamed late":             {[]string{cut + rest, rest, rest + order("new", "path=/cut")}, late, ""},
		"added anew":               {[]string{cut + rest, rest, rest + cut}, 0, ""},
		"added anew elsewhere":     {[]string{cut + rest, rest, rest + order("cut", "service=x", "path=/x")}, 0, ""},
		"anew, other service":      {[]string{cut + rest, rest, rest + order("cut", "service=x")}, soon, "entry cut: service: x: until version 2 it was an order kind with service = spanbook; add it so, or add it after"},
		"anew, other owner":        {[]string{cut + rest, rest, rest + order("cut", "owner=x")}, soon, "entry cut: owner: x"},
		"anew, idempotent":         {[]string{cut + rest, rest, rest + repeatable("cut")}, soon, "entry cut: idempotent: true"},
		"anew, idempotent late":    {[]string{cut + rest, rest, rest + repeatable("cut")}, late, ""},
		"two steps back":           {[]string{cut + rest, rest, rest + order("x"), order("x") + order("cut", "owner=x")}, soon - 1, "entry cut: owner: x"},
		"prefix takes exact":       {[]string{cut + rest, rest, rest + all}, soon, "entry all: path: " + other},
		"exact under order prefix": {[]string{all, all + repeatable("cut")}, 60, "entry cut: path: " + other + " belongs to the order kind all"},
		"longer prefix":            {[]string{all, all + order("cut", "path=/cut/*")}, 60, "entry cut: path: POST /cut/* belongs to the order kind all"},
		"exact falls to prefix":    {[]string{all + cut, all}, 60, "entry cut: path: without the order kind, " + other + " falls to entry all; keep it"},
		"prefix above, as before":  {[]string{all + cut, all + order("cut", "timeout=9s") + rest}, 0, ""},
		"other method":             {[]string{all, all + order("cut", "method=PUT")}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			now, d := time.Unix(0, 0), &Document{}
			for i, text := range c.chain {
				next := mustParse(t, text)
				last := i == len(c.chain)-1
				if last {
					now = now.Add(time.Duration(c.wait) * time.Minute)
				}
				err := checkOrders(d, next, now)
				if !last && err != nil {
					t.Fatal(err)
				}
				var refused *OrderKindError
				if last && (c.want == "") != (err == nil) || err != nil && !(errors.As(err, &refused) && len(refused.Problems) == 1 && strings.Contains(err.Error(), c.want)) {
					t.Fatalf("err = %v, want %q", err, c.want)
				}
				d = follow(t, d, next, now)
				now = now.Add(time.Minute)
			}
		})
	}
}

// follow returns the document after an edit that makes it the catalogue.
func follow(t *testing.T, d *Document, to *Catalogue, now time.Time) *Document {
	t.Helper()
	from, err := Parse([]byte(d.Text))
	if err != nil {
		t.Fatal(err)
	}
	e := Edit{Base: d.Version}
	e.SetDiff(from, to)
	m, err := merge(d, from, &e)
	if err != nil {
		t.Fatal(err)
	}
	return d.next(Change{Version: d.Version + 1, Time: now, Entries: m.touched}, m.catalogue.Text())
}

// Where the kept history is too short, no call gets a kind anew; the clock of
// an operator that is behind shortens nothing.
func TestOrderKindsWithoutHistory(t *testing.T) {
	at := func(minute int) time.Time { return time.Unix(0, 0).Add(time.Duration(minute) * time.Minute) }
	d := follow(t, &Document{}, mustParse(t, entryText("rest")+order("cut")), at(0))
	d = follow(t, d, mustParse(t, entryText("rest")+order("cut")+order("one")), at(30))
	d = follow(t, d, mustParse(t, entryText("rest")+order("one")), at(3)) // 27 minutes behind
	short := &Document{Change: d.Change, Text: d.Text}
	for i, c := range []struct {
		d      *Document
		text   string
		minute int
		want   string
	}{
		{d, order("new", "path=/cut"), 41, "add it after 1970-01-01 00:42:00 UTC"},
		{d, order("new", "path=/cut"), 42, ""},
		{d, order("new", "path=/new"), 30, ""},
		{short, order("new", "path=/cut"), 14, "belonged to the order kind cut until version 3"},
		{short, order("new", "path=/new"), 14, "entry new: path: POST /new: the kept history doesn't reach back 12 minutes"},
		{short, order("new", "path=/new"), 15, ""},
		{short, entryText("rest", "timeout=9s") + order("one"), 4, ""},
	} {
		err := checkOrders(c.d, mustParse(t, c.text), at(c.minute))
		if (c.want == "") != (err == nil) || !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("case %d: err = %v, want %q", i, err, c.want)
		}
	}
}

// Long chains of random edits without faults: no order runs twice, and enough
// edits are accepted and refused to tell.
func TestOrdersRunOnce(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewSource(seed))
			var told [unknown + 1]int
			for range 30 {
				m := newModel(seed)
				for range 60 {
					m.now = m.now.Add(time.Duration(r.Intn(4)) * time.Minute)
					m.randomEdit(r)
					if err := m.orders(); err != nil {
						t.Fatal(err)
					}
				}
				for _, i := range m.edits {
					told[i.report]++
				}
			}
			if told[applied] < 250 || told[refused] < 250 {
				t.Errorf("%d edits accepted, %d refused", told[applied], told[refused])
			}
		})
	}
}
