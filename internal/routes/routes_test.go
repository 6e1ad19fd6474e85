package routes

import (
	"strings"
	"testing"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Services: []WeightedService{{Service: "s", Weight: 1}}, Attempts: 1}
}

func TestMatchTakesLongestPrefix(t *testing.T) {
	table, err := New(3, []Route{
		route("short", "a.example", "/x/"),
		route("long", "A.example", "/x/y/"),
		route("other", "b.example", "/x/"),
	}, nil, Limits{})
	if err != nil {
		t.Fatal(err)
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

func TestErrorNamesInvalidRoute(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Route)
		want   string
	}{
		{"no prefix", func(r *Route) { r.Prefix = "x/" }, "prefix"},
		{"no service", func(r *Route) { r.Services = nil }, "weight"},
		{"zero weight", func(r *Route) { r.Services[0].Weight = 0 }, "weight"},
		{"negative weight", func(r *Route) { r.Services[0].Weight = -1 }, "weight"},
		{"no attempts", func(r *Route) { r.Attempts = 0 }, "attempts"},
		{"negative timeout", func(r *Route) { r.Timeout = -1 }, "timeout"},
	}
	for _, c := range cases {
		r := route("r-1", "a.example", "/x/")
		c.change(&r)
		_, err := New(1, []Route{r}, nil, Limits{})
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "r-1") {
			t.Errorf("%s: got error %v, want one that contains r-1 and %q", c.name, err, c.want)
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
