package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heathershed/internal/fleet"
	"heathershed/internal/link"
	"heathershed/internal/settings"
	"heathershed/internal/vm/instance"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

// Guards against slots that other nodes are not told of, and against a limit where the
// settings don't ask for one.
func TestSlowStartReportsTheSlotsInUse(t *testing.T) {
	const slots = 4 // of platformtest.Heartbeat
	for _, row := range []struct {
		name      string
		slowStart bool
		first     string // state in the first heartbeat
		peer      string // service of the other upstream
		want      uint32
	}{
		{"on", true, "ready", "near", 2},
		{"takes no requests at first", true, "draining", "near", 2},
		{"off", false, "ready", "near", slots},
		{"no peer", true, "ready", "far", slots},
	} {
		n := New(&settings.Sidecar{VM: "own", Service: "near", Datacentre: "west", Upstream: "127.0.0.1:1", SlowStart: row.slowStart}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		n.links = link.NewSet(t.Context(), &errgroup.Group{}, n, &n.traffic, func(context.Context, string) (net.Conn, error) {
			return nil, net.ErrClosed
		})
		now := time.Now()
		for i, state := range []string{row.first, "ready"} {
			heartbeat, err := platform.DecodeHeartbeat("i-1", []byte(platformtest.Heartbeat("near", "127.0.0.1:1", state, i+1)))
			if err != nil {
				t.Fatal(err)
			}
			n.target.update("heartbeat", func(tr *instance.Tracker) instance.Change { return tr.HandleHeartbeat(now, heartbeat) })
		}
		n.fleet.Put(fleet.Upstream{VM: "peer", Service: row.peer, Datacentre: "west", Instance: "i-2", Slots: slots, Ready: true})
		n.fleet.SetLinked("peer", true)
		n.fleet.UpdateLoad(now, "peer", fleet.Load{Slots: slots, Latency: 50 * time.Millisecond})
		n.comparePeers(now.Add(compareInterval))
		if got := n.load("").Limit; got != row.want {
			t.Errorf("%s: got %d slots reported, want %d", row.name, got, row.want)
		}
	}
}
