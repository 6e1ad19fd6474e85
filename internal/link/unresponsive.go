package link

import (
	"fmt"

	"heathershed/internal/link/liveness"
)

// UnresponsiveError ends a session whose other end gave no sign of life.
type UnresponsiveError struct {
	// Status is what had been waited for, and for how long.
	Status liveness.Status
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("link: silent: heartbeat without proof for %v", e.Status.UnackedHeartbeat)
}
