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
	// one still serves everything.
	leaveNotice = 2 * time.Second
	// idlePoll is how often a stop looks whether calls are in flight.
	idlePoll = 20 * time.Millisecond
	// newsTime is the time for the last news to leave.
	newsTime = 200 * time.Millisecond
	// answerTime bounds the time in which calls that were still in flight are
	// told how they ended, and the servers close.
	answerTime = 2 * time.Second
	// recordsPerFrame bounds one frame of handed-over records.
	recordsPerFrame = 256
)

// requestStop begins a planned stop.
func (n *Node) requestStop() {
	if n.stopOnce.CompareAndSwap(false, true) {
		close(n.stopRequested)
	}
}

// awaitStop runs a planned stop when ctx ends or an operator asks for it. It
// returns when nothing is in flight or the grace time is over.
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
	n.leave()
	sleep(grace, leaveNotice)
	n.awaitHomesMoved(grace)
	n.awaitIdle(grace)
	n.abort()
	last, cancelLast := context.WithTimeout(running, answerTime)
	defer cancelLast()
	n.awaitIdle(last)
	n.handOver()
	n.announceState(linkpb.MemberState_MEMBER_STATE_LEFT)
	sleep(running, newsTime)
	_ = n.ingress.Shutdown(last)
	n.server.Shutdown(last)
	n.log.Info("stopped", "vm", n.cfg.VM, "in_flight", n.inFlight.Load(), "took", time.Since(began).String())
	return nil
}

// leave tells everyone that the VM is leaving. Calls that are on their way
// still run.
func (n *Node) leave() {
	n.state.Store(phaseLeaving)
	n.leftAt.Store(time.Now().UnixNano())
	n.ingress.Drain()
	n.announceState(linkpb.MemberState_MEMBER_STATE_LEAVING)
}

// inNotice reports whether a stop has begun so lately that other nodes may not
// know of it: their calls are still served.
func (n *Node) inNotice() bool {
	return time.Since(time.Unix(0, n.leftAt.Load())) < leaveNotice
}

// announceState changes the own record, spreads it and has it written.
func (n *Node) announceState(s linkpb.MemberState) {
	n.control.offer(ownEvent{state: s, hasState: true})
	n.announce.Send()
}

// awaitHomesMoved waits until new order ids have other homes. Without the
// store, or without another VM of the service, the lists can't change, and the
// wait would be in vain.
func (n *Node) awaitHomesMoved(ctx context.Context) {
	for n.isHome(time.Now()) && n.othersUp() && !n.tracked.answeredSince().IsZero() {
		if !sleep(ctx, idlePoll) {
			return
		}
	}
}

// othersUp reports whether another VM of the service can be a home.
func (n *Node) othersUp() bool {
	for _, m := range n.control.members.Load().all {
		if m.Service == n.cfg.Service && m.Vm != n.cfg.VM && m.State == linkpb.MemberState_MEMBER_STATE_UP {
			return true
		}
	}
	return false
}

// isHome reports whether ids made at t may have this VM as their home.
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

// awaitIdle waits until no call is in flight.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.inFlight.Load() > 0 {
		if !sleep(ctx, idlePoll) {
			return
		}
	}
}

// handOver sends the records of orders to the VMs that answer for them from
// now on.
func (n *Node) handOver() {
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
