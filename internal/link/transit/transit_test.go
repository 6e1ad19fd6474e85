package transit

import (
	"testing"
	"time"
)

func TestDelay(t *testing.T) {
	const ms = int64(1000) // microseconds
	type message struct {
		at             time.Duration // steady clock of the receiver
		received, sent int64         // wall clocks, in milliseconds
		want           time.Duration
	}
	cases := []struct {
		name     string
		messages []message
	}{
		{"first message", []message{{0, 5000, 4000, 0}}},
		{"clocks differ", []message{{0, 5000, 9000, 0}, {time.Second, 6000, 10000, 0}}},
		{"held up", []message{{0, 5000, 4990, 0}, {2 * time.Second, 7000, 5490, 1500 * time.Millisecond}}},
		{"first one held up", []message{{0, 5000, 4000, 0}, {time.Second, 6000, 5990, 0}, {2 * time.Second, 7000, 6000, 990 * time.Millisecond}}},
		{"receiver suspended", []message{{0, 5000, 4990, 0}, {time.Second, 9000, 5990, 3 * time.Second}}},
		{"kept over one window", []message{{0, 5000, 4990, 0}, {window, 65000, 64490, 500 * time.Millisecond}}},
		{"sender's clock set back", []message{
			{0, 5000, 5000, 0},
			{time.Second, 6000, 4000, 2 * time.Second},
			{window, 65000, 63000, 2 * time.Second},
			{2 * window, 125000, 123000, 0},
		}},
	}
	start := time.Unix(1000, 0)
	for _, c := range cases {
		e := Estimator{began: start}
		for i, m := range c.messages {
			if got := e.Observe(start.Add(m.at), m.received*ms, m.sent*ms); got != m.want {
				t.Errorf("%s, message %d: got a delay of %v, want %v", c.name, i, got, m.want)
			}
		}
	}
}
