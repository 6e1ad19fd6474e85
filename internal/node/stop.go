package node

import (
	"context"
	"slices"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/timeline"
)

const (
	// leaveNotice is the time that other nodes get to stop sending, while this
	// node still serves every request.
	leaveNotice = 2 * time.Second
	// idlePoll is the interval at which a shutdown checks its conditions, such
	// as whether calls are in flight.
	idlePoll = 20 * time.Millisecond
	// lastFramesWait is the time given to the last control frames to be sent.
	lastFramesWait = 200 * time.Millisecond
	// finalReplyTimeout bounds the time in which calls that were still in
	// flight are answered with their outcome and the servers close.
	finalReplyTimeout = 2 * time.Second
	// recordsPerFrame bounds the order records in one frame.
	recordsPerFrame = 256
)

// requestStop begins a graceful shutdown.
func (n *Node) requestStop() {
	if n.stopOnce.CompareAndSwap(false, true) {
		close(n.stopRequested)
	}
}

// awaitStop runs a graceful shutdown when ctx ends or an operator requests one.
// It returns nil once nothing is in flight or the grace period is over, and
// also if running ends first.
func (n *Node) awaitStop(ctx, running context.Context) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	case <-n.stopRequested:
	}
	began := time.Now()
	grace, cancel := context.WithTimeout(running, n.cfg.Grace)
	defer cancel()
	endGrace := context.AfterFunc(n.aborted, cancel)
	defer endGrace()
	n.log.Info("planned stop", "vm", n.cfg.VM, "in_flight", n.inFlight.Load())
	n.record(timeline.Event{Kind: timeline.KindStop, Detail: "planned stop began"})
	n.beginLeaving()
	sleep(grace, leaveNotice)
	n.awaitHomesMoved(grace)
	n.awaitIdle(grace)
	n.abort()
	last, cancelLast := context.WithTimeout(running, finalReplyTimeout)
	defer cancelLast()
	n.awaitIdle(last)
	n.transferOrderRecords()
	n.announceState(linkpb.MemberState_MEMBER_STATE_LEFT)
	sleep(running, lastFramesWait)
	_ = n.ingress.Shutdown(last)
	n.server.Shutdown(last)
	n.log.Info("stopped", "vm", n.cfg.VM, "in_flight", n.inFlight.Load(), "took", time.Since(began).String())
	return nil
}

// beginLeaving announces that the VM is leaving. Calls that other nodes have
// already sent still run.
func (n *Node) beginLeaving() {
	n.state.Store(phaseLeaving)
	n.leftAt.Store(time.Now().UnixNano())
	n.ingress.Drain()
	n.announceState(linkpb.MemberState_MEMBER_STATE_LEAVING)
}

// inLeaveNotice reports whether a shutdown began so recently that other nodes
// may not know of it. Their calls are still served.
func (n *Node) inLeaveNotice() bool {
	return time.Since(time.Unix(0, n.leftAt.Load())) < leaveNotice
}

// announceState changes the state in the local member record, gossips it and
// triggers its write to the store.
func (n *Node) announceState(s linkpb.MemberState) {
	n.control.offer(localRecordEvent{state: s, hasState: true})
	n.announce.Send()
}

// awaitHomesMoved waits until new order ids have other homes. It does not wait
// without the store or without another VM of the service, since the lists can't
// change then.
func (n *Node) awaitHomesMoved(ctx context.Context) {
	for n.isHome(time.Now()) && n.hasOtherHome() && !n.tracked.availableSince().IsZero() {
		if !sleep(ctx, idlePoll) {
			return
		}
	}
}

// hasOtherHome reports whether another VM of the service can be a home.
func (n *Node) hasOtherHome() bool {
	for _, m := range n.control.members.Load().all {
		if m.Service == n.cfg.Service && m.Vm != n.cfg.VM && m.State == linkpb.MemberState_MEMBER_STATE_UP {
			return true
		}
	}
	return false
}

// isHome reports whether this VM may be the home of ids made at t.
func (n *Node) isHome(t time.Time) bool {
	lists := n.homes.Current().Services[n.cfg.Service]
	self := n.self()
	for i := len(lists) - 1; i >= 0; i-- {
		if t.Before(lists[i].From) {
			continue
		}
		return slices.Contains(lists[i].Members, self)
	}
	return false
}

// awaitIdle waits until no call is in flight or ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.inFlight.Load() > 0 {
		if !sleep(ctx, idlePoll) {
			return
		}
	}
}

// transferOrderRecords sends each order record to the VM that answers for its
// order id after this one has left.
func (n *Node) transferOrderRecords() {
	document := n.homes.Current()
	bySuccessor := make(map[string][]*linkpb.OrderRecord)
	for _, r := range n.orders.Export() {
		successor, ok := document.Successor(n.cfg.Service, contract.OrderID(r.OrderId))
		if ok {
			bySuccessor[successor.VM] = append(bySuccessor[successor.VM], r)
		}
	}
	for vm, records := range bySuccessor {
		s := n.control.sessionTo(vm)
		if s == nil {
			n.log.Warn("order records not handed over: no link", "to", vm, "records", len(records))
			continue
		}
		for len(records) > 0 {
			part := records[:min(recordsPerFrame, len(records))]
			records = records[len(part):]
			f := n.control.frame()
			f.OrderRecords = part
			if !s.Send(f) {
				n.log.Warn("order records not handed over: ring full", "to", vm, "records", len(part))
			}
		}
	}
}
