package sidecar

import (
	"time"

	"heathershed/internal/vm/pace"
)

// compareInterval is the shortest time between two comparisons with the peers. A
// window of the ramp-up lasts longer than that; frames of many nodes come more often.
const compareInterval = 100 * time.Millisecond

// comparePeers tells the scheduler how the peers of the local upstream respond, if the
// deployment asks for slow start and some peer has reported it.
func (n *Node) comparePeers(now time.Time) {
	if !n.cfg.SlowStart {
		return
	}
	last := n.comparedAt.Load()
	since := int64(now.Sub(n.started))
	if since-last < int64(compareInterval) || !n.comparedAt.CompareAndSwap(last, since) {
		return
	}
	peers, known := n.fleet.Peers(now, n.target.service(), n.cfg.VM)
	if !known {
		return
	}
	n.sched.SetEvidence(now, pace.Evidence{Latency: peers.Latency, Loss: n.losses.Rate(now), PeerLoss: peers.LossRate})
}
