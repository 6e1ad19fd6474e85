package resolve

import "heathershed/internal/platform"

// maxMarks bounds the keys and prefixes remembered.
const maxMarks = 4096

// marks remembers the highest versions seen. It is pure and not safe for
// concurrent use.
type marks struct {
	keys     map[string]platform.Version
	prefixes map[string]platform.Version
}

func newMarks() marks {
	return marks{
		keys:     make(map[string]platform.Version),
		prefixes: make(map[string]platform.Version),
	}
}

// fresh takes note of the version and reports whether it is not from before
// one already noted under the name.
func fresh(m map[string]platform.Version, name string, v platform.Version) bool {
	known, ok := m[name]
	if ok && v < known {
		return false
	}
	if !ok && len(m) >= maxMarks {
		for k := range m {
			delete(m, k)
			break
		}
	}
	m[name] = v
	return true
}

// object takes note of an object and reports whether it is fresh.
func (m *marks) object(o platform.Object) bool { return fresh(m.keys, o.Key, o.Version) }

// list takes note of a list and reports whether it is fresh: neither from
// before another list of the prefix nor from before one of its objects.
func (m *marks) list(prefix string, objects []platform.Object, v platform.Version) bool {
	for _, o := range objects {
		if m.keys[o.Key] > o.Version {
			return false
		}
	}
	if !fresh(m.prefixes, prefix, v) {
		return false
	}
	for _, o := range objects {
		fresh(m.keys, o.Key, o.Version)
	}
	return true
}

// known returns the highest version seen of the key, or 0.
func (m *marks) known(key string) platform.Version { return m.keys[key] }

// gone takes note that the key no longer exists.
func (m *marks) gone(key string) { delete(m.keys, key) }
