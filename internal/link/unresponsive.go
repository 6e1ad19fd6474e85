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

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("link: peer unresponsive: heartbeat unacknowledged for %v", e.Status.UnackedHeartbeat)
}
