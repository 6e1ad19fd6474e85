package catalogue

import (
	"strings"

	"heathershed/internal/contract"
)

// routes maps a request to its kind: an exact path takes precedence, then the
// longest prefix.
type routes struct {
	methods map[string]*methodRoutes
}

type methodRoutes struct {
	exact    map[string]*contract.Kind
	prefixes map[string]*contract.Kind // keys end in "/"
	longest  int                       // length of the longest prefix, in bytes
}

func newRoutes() routes { return routes{methods: make(map[string]*methodRoutes)} }

// add adds a kind, or returns the kind that already has the same route.
func (r *routes) add(k *contract.Kind) *contract.Kind {
	m := r.methods[k.Method]
	if m == nil {
		m = &methodRoutes{exact: make(map[string]*contract.Kind), prefixes: make(map[string]*contract.Kind)}
		r.methods[k.Method] = m
	}
	table, path := m.exact, k.Path
	if prefix, ok := strings.CutSuffix(k.Path, "*"); ok {
		table, path = m.prefixes, prefix
		m.longest = max(m.longest, len(prefix))
	}
	if other := table[path]; other != nil {
		return other
	}
	table[path] = k
	return nil
}

// Match returns the kind of a request: the entry whose path equals the given
// one, else the entry with the longest matching prefix. The path must be
// normalised and without a query. Match doesn't allocate.
func (c *Catalogue) Match(method, path []byte) (*contract.Kind, bool) {
	m := c.routes.methods[string(method)]
	if m == nil {
		return nil, false
	}
	if k := m.exact[string(path)]; k != nil {
		return k, true
	}
	for end := min(len(path), m.longest); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if k := m.prefixes[string(path[:end])]; k != nil {
			return k, true
		}
	}
	return nil, false
}
