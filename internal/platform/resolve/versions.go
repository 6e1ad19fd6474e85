package resolve

import "heathershed/internal/platform"

// maxSeen bounds the number of keys, and of prefixes, whose versions are
// remembered.
const maxSeen = 4096

// versions remembers the highest version seen of each key and of each listed
// prefix. It is not safe for concurrent use.
type versions struct {
	keys     map[string]platform.Version
	prefixes map[string]platform.Version
}

func newVersions() versions {
	return versions{
		keys:     make(map[string]platform.Version),
		prefixes: make(map[string]platform.Version),
	}
}

// add records the version under a name. It returns false if a higher version
// is already recorded.
func add(m map[string]platform.Version, name string, v platform.Version) bool {
	known, ok := m[name]
	if ok && v < known {
		return false
	}
	if !ok && len(m) >= maxSeen {
		for k := range m {
			delete(m, k)
			break
		}
	}
	m[name] = v
	return true
}

// addObject records an object's version and reports whether the object is not
// older than one already seen.
func (m *versions) addObject(o platform.Object) bool { return add(m.keys, o.Key, o.Version) }

// addList records a list and reports whether it is fresh: neither older than
// another list of the prefix nor containing an object older than one already
// seen.
func (m *versions) addList(prefix string, objects []platform.Object, v platform.Version) bool {
	for _, o := range objects {
		if m.keys[o.Key] > o.Version {
			return false
		}
	}
	if !add(m.prefixes, prefix, v) {
		return false
	}
	for _, o := range objects {
		add(m.keys, o.Key, o.Version)
	}
	return true
}

// highest returns the highest version seen of the key, or 0.
func (m *versions) highest(key string) platform.Version { return m.keys[key] }

// forget drops the version of a key that no longer exists.
func (m *versions) forget(key string) { delete(m.keys, key) }
