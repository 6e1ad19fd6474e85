package catalogue

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// orderText returns the entry of an order kind.
func orderText(name string, changes ...string) string {
	return entryText(name, append([]string{"class=order", "idempotent=false", "method=POST"}, changes...)...)
}

// idempotentText returns the entry of an idempotent kind with the method POST.
func idempotentText(name string, changes ...string) string {
	return entryText(name, append([]string{"method=POST"}, changes...)...)
}

// Guards against edits under which a repeated order would not find its record.
// Each case is a sequence of versions. The last one is the edit under test,
// made 1 + wait minutes after the version before it. The others are one minute
// apart and must be accepted.
func TestOrderKindRules(t *testing.T) {
	const soon, late, other = 10, 11, "POST /cut"
	cut, rest := orderText("cut"), entryText("rest")
	all := orderText("all", "path=/*")
	for name, c := range map[string]struct {
		versions []string
		wait     int    // minutes before the last edit
		want     string // substring of the error; empty: accepted
	}{
		"owner":                    {[]string{cut, orderText("cut", "owner=x")}, 60, "entry cut: owner: x: an order kind keeps owner = filao"},
		"service":                  {[]string{cut, orderText("cut", "service=x")}, 60, "entry cut: service: x: an order kind keeps service = spanbook"},
		"method":                   {[]string{cut, orderText("cut", "method=PUT")}, 60, "entry cut: method: PUT: an order kind keeps"},
		"path":                     {[]string{cut, orderText("cut", "path=/x")}, 60, "entry cut: path: /x: an order kind keeps"},
		"idempotent":               {[]string{cut, idempotentText("cut")}, 60, "entry cut: idempotent: true: an order kind keeps"},
		"mutable keys":             {[]string{cut, "# why\n" + orderText("cut", "timeout=9s", "rate=5", "max_answer=1KiB")}, 0, ""},
		"to an order":              {[]string{idempotentText("cut"), orderText("cut", "owner=x", "service=x")}, 0, ""},
		"idempotent kind changes":  {[]string{idempotentText("cut"), idempotentText("cut", "owner=x", "service=x", "path=/x")}, 0, ""},
		"removed":                  {[]string{cut + rest, rest}, 0, ""},
		"renamed":                  {[]string{cut, orderText("new", "path=/cut")}, 60, "entry new: path: " + other + " belongs to the order kind cut; choose another path, or first remove cut and wait 12 minutes"},
		"renamed, other order":     {[]string{cut + rest, rest, rest + orderText("new", "path=/cut")}, soon, "entry new: path: " + other + " belonged to the order kind cut until version 2; choose another path, or add it after 1970-01-01 00:13:00 UTC"},
		"renamed, idempotent":      {[]string{cut + rest, rest, rest + idempotentText("new", "path=/cut")}, soon, "entry new: path"},
		"renamed late":             {[]string{cut + rest, rest, rest + orderText("new", "path=/cut")}, late, ""},
		"added again":              {[]string{cut + rest, rest, rest + cut}, 0, ""},
		"added again elsewhere":    {[]string{cut + rest, rest, rest + orderText("cut", "service=x", "path=/x")}, 0, ""},
		"again, other service":     {[]string{cut + rest, rest, rest + orderText("cut", "service=x")}, soon, "entry cut: service: x: until version 2 it was an order kind with service = spanbook; add it with that value, or add it after"},
		"again, other owner":       {[]string{cut + rest, rest, rest + orderText("cut", "owner=x")}, soon, "entry cut: owner: x"},
		"again, idempotent":        {[]string{cut + rest, rest, rest + idempotentText("cut")}, soon, "entry cut: idempotent: true"},
		"again, idempotent late":   {[]string{cut + rest, rest, rest + idempotentText("cut")}, late, ""},
		"removed two versions ago": {[]string{cut + rest, rest, rest + orderText("x"), orderText("x") + orderText("cut", "owner=x")}, soon - 1, "entry cut: owner: x"},
		"prefix covers exact path": {[]string{cut + rest, rest, rest + all}, soon, "entry all: path: " + other},
		"exact under order prefix": {[]string{all, all + idempotentText("cut")}, 60, "entry cut: path: " + other + " belongs to the order kind all"},
		"longer prefix":            {[]string{all, all + orderText("cut", "path=/cut/*")}, 60, "entry cut: path: POST /cut/* belongs to the order kind all"},
		"exact uncovers prefix":    {[]string{all + cut, all}, 60, "entry cut: path: without the order kind, " + other + " would match entry all; keep it"},
		"prefix above, unchanged":  {[]string{all + cut, all + orderText("cut", "timeout=9s") + rest}, 0, ""},
		"other method":             {[]string{all, all + orderText("cut", "method=PUT")}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			now, d := time.Unix(0, 0), &Document{}
			for i, text := range c.versions {
				next := mustParse(t, text)
				last := i == len(c.versions)-1
				if last {
					now = now.Add(time.Duration(c.wait) * time.Minute)
				}
				err := checkOrders(d, next, now)
				if !last && err != nil {
					t.Fatal(err)
				}
				var refused *OrderKindError
				if last && (c.want == "") != (err == nil) || err != nil && !(errors.As(err, &refused) && len(refused.Problems) == 1 && strings.Contains(err.Error(), c.want)) {
					t.Fatalf("got error %v, want %q", err, c.want)
				}
				d = nextDocument(t, d, next, now)
				now = now.Add(time.Minute)
			}
		})
	}
}

// nextDocument returns the document after an edit that turns it into the
// catalogue.
func nextDocument(t *testing.T, d *Document, to *Catalogue, now time.Time) *Document {
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
	return d.next(Change{Version: d.Version + 1, Time: now, Entries: m.changes}, m.catalogue.Text())
}

// Guards against a new kind for a call whose previous kind is unknown because the
// retained history is too short, and against an operator's clock that is behind
// and would shorten OrderWindow.
func TestOrderKindRulesWithTruncatedHistory(t *testing.T) {
	at := func(minute int) time.Time { return time.Unix(0, 0).Add(time.Duration(minute) * time.Minute) }
	d := nextDocument(t, &Document{}, mustParse(t, entryText("rest")+orderText("cut")), at(0))
	d = nextDocument(t, d, mustParse(t, entryText("rest")+orderText("cut")+orderText("one")), at(30))
	d = nextDocument(t, d, mustParse(t, entryText("rest")+orderText("one")), at(3)) // 27 minutes behind
	short := &Document{Change: d.Change, Text: d.Text}
	for i, c := range []struct {
		d      *Document
		text   string
		minute int
		want   string
	}{
		{d, orderText("new", "path=/cut"), 41, "add it after 1970-01-01 00:42:00 UTC"},
		{d, orderText("new", "path=/cut"), 42, ""},
		{d, orderText("new", "path=/new"), 30, ""},
		{short, orderText("new", "path=/cut"), 14, "belonged to the order kind cut until version 3"},
		{short, orderText("new", "path=/new"), 14, "entry new: path: POST /new: the retained history covers less than 12 minutes"},
		{short, orderText("new", "path=/new"), 15, ""},
		{short, entryText("rest", "timeout=9s") + orderText("one"), 4, ""},
	} {
		err := checkOrders(c.d, mustParse(t, c.text), at(c.minute))
		if (c.want == "") != (err == nil) || !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("case %d: got error %v, want %q", i, err, c.want)
		}
	}
}

// Guards against orders that run twice after long sequences of random edits
// without store faults. Enough edits must be accepted and rejected to exercise
// the check.
func TestOrdersRunOnce(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewSource(seed))
			var reports [unknown + 1]int
			for range 30 {
				m := newModel(seed)
				for range 60 {
					m.now = m.now.Add(time.Duration(r.Intn(4)) * time.Minute)
					m.randomEdit(r)
					if err := m.runOrders(); err != nil {
						t.Fatal(err)
					}
				}
				for _, i := range m.edits {
					reports[i.report]++
				}
			}
			if reports[applied] < 250 || reports[refused] < 250 {
				t.Errorf("got %d edits accepted, %d refused, want at least 250 each", reports[applied], reports[refused])
			}
		})
	}
}
