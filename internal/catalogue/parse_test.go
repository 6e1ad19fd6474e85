package catalogue

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
)

// entryText returns the text of an entry. Each change is KEY=VALUE; the value "-"
// removes the key.
func entryText(name string, changes ...string) string {
	lines := map[string]string{
		"owner": "filao", "service": "spanbook", "class": "lookup", "idempotent": "true",
		"method": "GET", "path": "/" + name, "timeout": "2s",
	}
	for _, change := range changes {
		key, value, _ := strings.Cut(change, "=")
		lines[key] = value
	}
	text := "[kind " + name + "]\n"
	for key, value := range lines {
		if value != "-" {
			text += key + " = " + value + "\n"
		}
	}
	return text
}

func mustParse(t *testing.T, text string) *Catalogue {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against an invalid catalogue that is accepted, and against problems that
// are reported only one at a time.
func TestParseRejectsInvalidText(t *testing.T) {
	one := func(change ...string) string { return entryText("a", change...) }
	for name, c := range map[string]struct {
		text string
		want []string // a prefix of Problem.String for each problem
	}{
		"unknown key":        {one("retrys=1"), []string{"entry a: retrys: unknown key"}},
		"missing key":        {one("owner=-"), []string{"entry a: owner: is missing"}},
		"key twice":          {one() + "owner = x\n", []string{"entry a: owner: is given 2 times"}},
		"same key twice":     {one() + "owner = filao\n", []string{"entry a: owner: is given 2 times"}},
		"no unit":            {one("timeout=2"), []string{`entry a: timeout: "2": want a duration with its unit`}},
		"wrong unit":         {one("max_request=2MB"), []string{`entry a: max_request: "2MB": want bytes`}},
		"too short":          {one("timeout=1us"), []string{"entry a: timeout: 1us: want 1ms to 1m0s"}},
		"too many retries":   {one("retries=11"), []string{`entry a: retries: "11": want a whole number from 0 to 10`}},
		"share of zero":      {one("share=0"), []string{`entry a: share: "0": want a part`}},
		"rate not a number":  {one("rate=NaN"), []string{`entry a: rate: "NaN": want calls a second`}},
		"class":              {one("class=urgent"), []string{`entry a: class: class "urgent": want lookup, check or order`}},
		"order as lookup":    {one("idempotent=false", "method=POST"), []string{"entry a: class: lookup: an entry with idempotent = false has class = order"}},
		"lookup as order":    {one("class=order"), []string{"entry a: class: order: only an entry"}},
		"order by GET":       {one("class=order", "idempotent=false"), []string{"entry a: method: GET"}},
		"path with query":    {one("path=/a?b"), []string{`entry a: path: "/a?b"`}},
		"star inside":        {one("path=/a*"), []string{`entry a: path: "/a*": a prefix ends`}},
		"empty segment":      {one("path=/a//b"), []string{`entry a: path: "/a//b"`}},
		"dots":               {one("path=/a/../b"), []string{`entry a: path: "/a/../b": "." and ".."`}},
		"name twice":         {one() + one(), []string{"entry a: stands twice"}},
		"same path":          {one() + entryText("b", "path=/a"), []string{"entry b: path: GET /a overlaps with entry a"}},
		"same prefix":        {one("path=/a/*") + entryText("b", "path=/a/*"), []string{"entry b: path: GET /a/* overlaps"}},
		"key before entries": {"owner = x\n" + one(), []string{`key "owner" stands before`}},
		"other section":      {"[service x]\n", []string{"section [service x]: want [kind NAME]"}},
		"name":               {entryText("A b"), []string{"section [kind A b]: name"}},
		"not INI":            {"[kind a]\nowner\n", []string{"not INI"}},
		"oversized":          {"#" + strings.Repeat("x", MaxText), []string{"text has 1048577 bytes"}},
		"several problems": {one("owner=-", "timeout=2", "x=1") + entryText("b", "share=2"), []string{
			"entry a: owner: is missing", `entry a: timeout: "2"`, "entry a: x: unknown", `entry b: share: "2"`}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want *InvalidError", err)
			}
			if len(invalid.Problems) != len(c.want) {
				t.Fatalf("got problems %v, want %q", invalid.Problems, c.want)
			}
			for i, want := range c.want {
				if got := invalid.Problems[i].String(); !strings.HasPrefix(got, want) {
					t.Errorf("problem %d: got %s, want %s...", i, got, want)
				}
			}
		})
	}
}

// Guards against keys or comments that are lost when a catalogue is parsed or
// formatted.
func TestParseKeepsEveryValue(t *testing.T) {
	c := mustParse(t, "# Crews wait for it.\n; Second line.\n"+entryText("cut-order", "class=order", "idempotent=false",
		"method=POST", "retries=2", "max_request=3KiB", "max_answer=17", "rate=0.5", "concurrency=9", "share=0.25"))
	want := contract.Kind{Name: "cut-order", Owner: "filao", Service: "spanbook", Class: contract.ClassOrder,
		Method: "POST", Path: "/cut-order", Timeout: 2e9, Retries: 2, MaxRequest: 3072, MaxAnswer: 17,
		Rate: 0.5, Concurrency: 9, Share: 0.25}
	if got := *c.Kinds()[0]; got != want {
		t.Errorf("got kind %+v, want %+v", got, want)
	}
	again := mustParse(t, string(c.Text()))
	if got, want := again.Entries()[0], c.Entries()[0]; !got.Equal(want) || got.Comment == "" {
		t.Errorf("formatted and parsed again: got %s, want %s", got, want)
	}
}

var matchText = entryText("exact", "path=/spans/near") + entryText("short", "path=/spans/*") +
	entryText("long", "path=/spans/a/*") + entryText("post", "path=/spans/*", "method=POST") +
	entryText("root", "path=/*", "method=PUT")

// Guards against a request that matches the wrong kind, and against allocations in
// Match.
func TestMatch(t *testing.T) {
	c := mustParse(t, matchText)
	for request, want := range map[string]string{
		"GET /spans/near": "exact", "GET /spans/near/": "short", "GET /spans/b": "short", "GET /spans/a/b/c": "long",
		"GET /spans/a": "short", "POST /spans/near": "post", "PUT /": "root", "PUT /x/y": "root",
		"GET /spans": "", "GET /": "", "HEAD /spans/near": "", "GET ": "",
	} {
		method, path, _ := strings.Cut(request, " ")
		got := ""
		if k, ok := c.Match([]byte(method), []byte(path)); ok {
			got = k.Name
		}
		if got != want {
			t.Errorf("%s: got kind %q, want %q", request, got, want)
		}
	}
	method, path := []byte("GET"), []byte("/spans/a/b/c/d/e")
	if n := testing.AllocsPerRun(100, func() { c.Match(method, path) }); n != 0 {
		t.Errorf("got %v allocations per Match, want 0", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	c, err := Parse([]byte(matchText))
	if err != nil {
		b.Fatal(err)
	}
	method, path := []byte("GET"), []byte("/spans/a/b/c/d/e")
	b.ReportAllocs()
	for b.Loop() {
		c.Match(method, path)
	}
}
