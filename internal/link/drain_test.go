package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Guards against a draining connection that is closed while a long call is
// still in flight.
func TestDrainWaitsForCallsInFlight(t *testing.T) {
	raw, err := grpc.NewClient("passthrough:///127.0.0.1:1", grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		const longCall = 10 * time.Minute // the longest timeout a caller may ask for
		c := newConn(raw)
		c.inFlight.Add(1)
		go c.drain(context.Background())
		time.Sleep(longCall)
		if c.gone.Err() != nil {
			t.Error("connection closed with a call in flight")
		}
		c.inFlight.Add(-1)
		time.Sleep(2 * drainPoll)
		if c.gone.Err() == nil {
			t.Error("connection still open without calls")
		}
	})
}
