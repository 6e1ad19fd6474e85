package workspace

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func entry(name string, keys ...string) Entry {
	return Entry{Workspace: Workspace{Name: name}, Keys: keys}
}

// Guards against an invalid entry that lets somebody in, hides another workspace, or
// writes a key into an error.
func TestInvalidEntriesLetNobodyIn(t *testing.T) {
	negative := entry("bad", "secret")
	negative.Rate = -1
	infinite := entry("bad", "secret")
	infinite.Burst = math.Inf(1)
	cases := []struct {
		name    string
		entries []Entry
	}{
		{"key of two workspaces", []Entry{entry("bad", "secret"), entry("worse", "secret")}},
		{"key of three workspaces", []Entry{entry("bad", "secret"), entry("worse", "secret"), entry("worst", "secret")}},
		{"name of two workspaces", []Entry{entry("bad", "secret"), entry("bad", "other-secret")}},
		{"negative rate", []Entry{negative}},
		{"infinite burst", []Entry{infinite}},
		{"no name", []Entry{entry("", "secret")}},
		{"name with a line break", []Entry{entry("bad\r\nX: 1", "secret")}},
		{"name that is too long", []Entry{entry(strings.Repeat("x", maxName+1), "secret")}},
		{"empty key", []Entry{entry("bad", "")}},
		{"key with a blank", []Entry{entry("bad", "secret x")}},
		{"key that is too long", []Entry{entry("bad", strings.Repeat("secret", maxKey))}},
	}
	for _, c := range cases {
		table, invalid := NewTable(append([]Entry{entry("good", "k")}, c.entries...))
		if len(invalid) == 0 {
			t.Errorf("%s: got no error", c.name)
		}
		for _, err := range invalid {
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("%s: got error %q, want none that contains a key", c.name, err)
			}
		}
		for _, key := range []string{"", "secret", "other-secret", "secret x"} {
			if w := table.Lookup([]byte(key)); w != nil {
				t.Errorf("%s: key %q: got workspace %q, want none", c.name, key, w.Name)
			}
		}
		if w := table.Lookup([]byte("k")); w == nil || w.Name != "good" {
			t.Errorf("%s: the valid workspace: got %v, want good", c.name, w)
		}
	}
}

// Guards against a workspace that is invalid because it has no key, or the same one
// twice.
func TestWorkspaceMayHaveNoKeyOrRepeatOne(t *testing.T) {
	table, invalid := NewTable([]Entry{entry("none"), entry("twice", "a", "a")})
	if len(invalid) > 0 || table.Find("none") == nil || table.Lookup([]byte("a")) == nil {
		t.Errorf("got errors %v, want two workspaces and key a", invalid)
	}
}

// Guards against a lease that ends after the bound, or one that ends where no bound
// applies.
func TestLeaseEndsBeforeItsBound(t *testing.T) {
	l := Lease{Bound: 5 * time.Second}
	if !l.Holds(4 * time.Second) {
		t.Error("age 4s of 5s: got ended, want held")
	}
	for _, age := range []time.Duration{l.Bound, l.Bound - l.Bound/marginDivisor, math.MaxInt64} {
		if l.Holds(age) || l.Left(age) != 0 {
			t.Errorf("age %v of 5s: got held for %v, want ended", age, l.Left(age))
		}
	}
	if !(Lease{}).Holds(math.MaxInt64) {
		t.Error("lease without a bound: got ended, want held")
	}
}

func BenchmarkLookup(b *testing.B) {
	const count = 10_000
	entries := make([]Entry, count)
	for i := range entries {
		entries[i] = entry(fmt.Sprint("w-", i), fmt.Sprint("key-", i))
	}
	table, _ := NewTable(entries)
	key := []byte("key-5000")
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup(key)
	}
}
