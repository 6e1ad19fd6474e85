package soak

import (
	"testing"
	"time"
)

func TestSlowAnswersComeInTheClientsTime(t *testing.T) {
	for i := range 1000 {
		by := slowBy(string(rune(i)))
		if by < slowLeast || by >= slowMost || by+maxWork*time.Millisecond > patience-answerMargin {
			t.Fatal(by)
		}
	}
}
