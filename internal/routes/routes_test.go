package routes

import (
	"strconv"
	"strings"
	"testing"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Services: []WeightedService{{Service: "s", Weight: 1}}, Attempts: 1}
}

func TestMatchTakesLongestPrefix(t *testing.T) {
	table, invalid := New(3, []Route{
		route("short", "a.example", "/x/"),
		route("long", "A.example", "/x/y/"),
		route("other", "b.example", "/x/"),
	}, nil, Limits{})
	if len(invalid) > 0 {
		t.Fatal(invalid)
	}
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:80", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
		{"", "/", ""},
	}
	for _, c := range cases {
		r, ok := table.Match(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("Match(%s, %s): got %+v, want %q", c.host, c.path, r, c.want)
		}
	}
}

func TestInvalidRouteIsNamedAndUnavailable(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Route)
		want   string
		kept   bool
	}{
		{"no prefix", func(r *Route) { r.Prefix = "x/" }, "prefix", false},
		{"no service", func(r *Route) { r.Services = nil }, "weight", true},
		{"zero weight", func(r *Route) { r.Services[0].Weight = 0 }, "weight", true},
		{"negative weight", func(r *Route) { r.Services[0].Weight = -1 }, "weight", true},
		{"no attempts", func(r *Route) { r.Attempts = 0 }, "attempts", true},
		{"negative timeout", func(r *Route) { r.Timeout = -1 }, "timeout", true},
	}
	for _, c := range cases {
		r := route("r-1", "a.example", "/x/")
		c.change(&r)
		table, invalid := New(1, []Route{route("r-0", "a.example", "/"), r}, nil, Limits{})
		if len(invalid) != 1 || !strings.Contains(invalid[0].Error(), c.want) || !strings.Contains(invalid[0].Error(), "r-1") {
			t.Errorf("%s: got errors %v, want one that contains r-1 and %q", c.name, invalid, c.want)
		}
		if got, _ := table.Match("a.example", "/x/1"); got.Unavailable != c.kept || (got.Name == "r-1") != c.kept {
			t.Errorf("%s: got route %+v, want r-1 kept as unavailable: %v", c.name, got, c.kept)
		}
		if got, _ := table.Match("a.example", "/y"); got == nil || got.Unavailable {
			t.Errorf("%s: got route %+v for another path, want r-0 available", c.name, got)
		}
	}
}

func TestSplitterKeepsWeightsOverShortPeriods(t *testing.T) {
	r := &Route{Name: "r", Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	var s Splitter
	count := make(map[string]int)
	for range 20 {
		count[s.Next(r)]++
	}
	if count["a"] != 18 || count["b"] != 2 || count["c"] != 0 {
		t.Fatalf("20 requests: got %v, want 18, 2 and 0", count)
	}
}

func TestServiceWithoutWeightGetsNoRequestsByOlderWeights(t *testing.T) {
	var s Splitter
	before := &Route{Name: "r", Services: []WeightedService{{"a", 900}, {"b", 100}}}
	after := &Route{Name: "r", Services: []WeightedService{{"a", 0}, {"b", 1}}}
	for used := range 20 {
		for range used {
			s.Next(before)
		}
		for range 100 {
			if got := s.Next(after); got != "b" {
				t.Fatalf("after %d requests by older weights: got service %s, want b", used, got)
			}
		}
	}
}

func TestSharesFollowNewWeightsAtOnce(t *testing.T) {
	var s Splitter
	before := &Route{Name: "r", Services: []WeightedService{{"a", 900}, {"b", 100}}}
	after := &Route{Name: "r", Services: []WeightedService{{"a", 1}, {"b", 1}}}
	for range 5 {
		s.Next(before)
	}
	count := make(map[string]int)
	for range 20 {
		count[s.Next(after)]++
	}
	if count["a"] != 10 || count["b"] != 10 {
		t.Errorf("20 requests by new weights: got %v, want 10 each", count)
	}
}

func TestSharesHoldForAsManyRoutesAsAreTracked(t *testing.T) {
	var s Splitter
	all := make([]*Route, maxTracked)
	for i := range all {
		all[i] = &Route{Name: strconv.Itoa(i), Services: []WeightedService{{"a", 2}, {"b", 1}}}
	}
	count := make(map[string]int)
	for range 3 {
		for _, r := range all {
			count[s.Next(r)]++
		}
	}
	if count["a"] != 2*maxTracked || count["b"] != maxTracked {
		t.Errorf("three requests on each of %d routes: got %v, want a third at b", maxTracked, count)
	}
}
