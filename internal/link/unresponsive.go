package link

import (
	"fmt"

	"heathershed/internal/link/liveness"
)

// UnresponsiveError ends a session whose peer has become unresponsive.
type UnresponsiveError struct {
	// Status is the state of the failure detector when it suspected the peer.
	Status liveness.Status
}

// Error implements error. At the accepting end, which sends no heartbeats of its
// own, the time is 0.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("link: silent: heartbeat without proof for %v", e.Status.UnackedHeartbeat)
}
