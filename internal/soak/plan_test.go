package soak

import (
	"testing"
	"time"
)

// TestSlowAnswersFitRequestTimeout guards against slow answers that come too late
// for their client, which would excuse requests that nodes give up.
func TestSlowAnswersFitRequestTimeout(t *testing.T) {
	for i := range 1000 {
		extra := slowBy(string(rune(i)))
		if extra < slowMin || extra >= slowMax || extra+maxWorkMS*time.Millisecond > requestTimeout-answerMargin {
			t.Fatal(extra)
		}
	}
}
