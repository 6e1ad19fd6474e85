package poison

import "testing"

func TestKeyDistinguishesWhatTheUpstreamGets(t *testing.T) {
	seen := make(map[Key]string)
	for name, k := range map[string]Key{
		"request":        KeyOf("GET", "h", "/p?q", "s", []byte("body")),
		"another method": KeyOf("POST", "h", "/p?q", "s", []byte("body")),
		"another host":   KeyOf("GET", "i", "/p?q", "s", []byte("body")),
		"another path":   KeyOf("GET", "h", "/r?q", "s", []byte("body")),
		"another query":  KeyOf("GET", "h", "/p?r", "s", []byte("body")),
		"another caller": KeyOf("GET", "h", "/p?q", "t", []byte("body")),
		"another body":   KeyOf("GET", "h", "/p?q", "s", []byte("bodies")),
		"moved bytes":    KeyOf("GET", "h/", "p?q", "s", []byte("body")),
	} {
		if other, taken := seen[k]; taken {
			t.Errorf("%s and %s have one key", name, other)
		}
		seen[k] = name
	}
	if KeyOf("GET", "h", "/", "s", nil) != KeyOf("GET", "h", "/", "s", []byte{}) {
		t.Error("the same request has two keys")
	}
}
