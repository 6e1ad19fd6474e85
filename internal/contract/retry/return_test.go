package retry

import (
	"testing"
	"time"
)

func TestReturnAfter(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name          string
		r             Return
		first, latest time.Duration
	}{
		{"much time", Return{Left: 6000 * ms, Takes: 200 * ms}, 150 * ms, 500 * ms},
		{"little time", Return{Left: 600 * ms, Takes: 200 * ms}, 100 * ms, 200 * ms},
		{"room is expected later", Return{Room: 700 * ms, Left: 6000 * ms}, 700 * ms, 1050 * ms},
		{"no room while the client waits", Return{Room: 3 * time.Second, Left: 6000 * ms}, 1650 * ms, 2000 * ms},
		{"no room while the client waits, little time", Return{Room: 3 * time.Second, Left: 600 * ms}, 100 * ms, 200 * ms},
		{"the answer needs most of the time", Return{Left: 900 * ms, Takes: 800 * ms}, 50 * ms, 100 * ms},
		{"no time for an answer", Return{Left: 500 * ms, Takes: 800 * ms}, 0, 0},
		{"deadline passed", Return{Left: -ms}, 0, 0},
	}
	for _, tc := range cases {
		if got := tc.r.After(0); got != tc.first {
			t.Errorf("%s: got %v as the first return, want %v", tc.name, got, tc.first)
		}
		if got := tc.r.After(0.999999); tc.latest-got > ms || got > tc.latest {
			t.Errorf("%s: got %v as the last return, want %v", tc.name, got, tc.latest)
		}
	}
}
