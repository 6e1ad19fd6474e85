package sidecar

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathershed/internal/contract"
	"heathershed/internal/fairshare"
	"heathershed/internal/vm/scheduler"
)

// shares ranks the requests of workspaces at the ingress. The zero value has seen
// none. It is safe for concurrent use.
type shares struct {
	mu     sync.Mutex
	sharer fairshare.Sharer
}

func (s *shares) rank(now time.Time, class contract.Class, workspace string, draw float64) (rank uint16, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharer.Rank(now, class, workspace, draw)
}

// setLevel sets the priority level of a client's request. The class follows from the
// priority of the route or of the workspace. The rank within it follows from the share
// of the workspace; that of a request without one is a hash of the attempt id.
func (n *Node) setLevel(now time.Time, c *call) {
	c.level = levelOf(rankOf(c.route, c.workspace), c.attempt)
	if c.workspace == nil {
		return
	}
	class := c.level.Class()
	if rank, ok := n.shares.rank(now, class, c.workspace.Name, uniform(c.attempt)); ok {
		c.level, c.shared = contract.LevelOf(class, rank), true
	}
}

// levelOf returns the priority level of a request without a workspace. rank is the
// priority of its route.
func levelOf(rank int, attempt string) contract.Level {
	class := max(contract.NumClasses-1-max(rank, 0), 0)
	return contract.LevelOf(contract.Class(class), uint16(xxhash.Sum64String(attempt)%contract.RanksPerClass))
}

// uniform returns a number in [0, 1) that follows from the attempt id.
func uniform(attempt string) float64 {
	return float64(xxhash.Sum64String(attempt)) / math.MaxUint64
}

// overloadDetail returns the detail of a rejection for lack of room. beyond says that
// the request is beyond the share of its workspace.
func overloadDetail(detail, workspace string, beyond bool) string {
	if !beyond {
		return detail
	}
	return detail + ": workspace " + workspace + " has its share"
}

// lacksShare reports whether the scheduler rejected a request because its workspace has
// its share.
func lacksShare(refusal *scheduler.Refusal) bool {
	switch refusal.Reason {
	case contract.ReasonOverload, contract.ReasonQueueTimeout:
		return refusal.BeyondShare
	}
	return false
}
