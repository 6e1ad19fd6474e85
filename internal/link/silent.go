package link

import (
	"fmt"

	"heathershed/internal/link/liveness"
)

// SilentError ends a session whose other end gave no sign of life.
type SilentError struct {
	// Waiting is what had been waited for, and for how long.
	Waiting liveness.Waiting
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("link: silent: heartbeat without proof for %v", e.Waiting.Heartbeat)
}
