package fieldline

import "testing"

func TestCheck(t *testing.T) {
	t.Parallel()
	for line, want := range map[string]string{
		"X: 1\r\n": "X", "x-y:\r\n": "x-y", "X:1\r\n": "X", "X: a:\tb \r\n": "X", "X: \xff\r\n": "X", "\r\n": "",
	} {
		if name, ok := Check(line); !ok || name != want {
			t.Errorf("%q: got %q, valid %v; want %q", line, name, ok, want)
		}
	}
	for _, line := range []string{
		"", "X: 1", "X: 1\n", "\n", "X : 1\r\n", "X\t: 1\r\n", " X: 1\r\n", "\tX: 1\r\n", " folded\r\n", "X Y: 1\r\n", "X\x01: 1\r\n",
		"X\x7f: 1\r\n", ": 1\r\n", "X\r\n", "X: a\rb\r\n", "X: a\x00\r\n", "X: a\x7f\r\n", "X(: 1\r\n", "X\xc3\xa9: 1\r\n",
	} {
		if name, ok := Check(line); ok {
			t.Errorf("%q: got the valid field %q", line, name)
		}
	}
	if !CheckAll("X: 1\r\nY: 2\r\n\r\n") || !CheckAll("") || CheckAll("X: 1\r\nY : 2\r\n\r\n") {
		t.Error("CheckAll differs from Check of each line")
	}
}
