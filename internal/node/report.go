package node

import (
	"fmt"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/datacentre/membership"
	"heathershed/internal/datacentre/routing"
	"heathershed/internal/report"
	"heathershed/internal/timeline"
	"heathershed/internal/version"
)

func (n *Node) report() report.Node {
	now := time.Now()
	wanted, up := n.links.Counts()
	traffic := n.traffic.Read()
	return report.Node{
		Version:       version.Version,
		VM:            n.cfg.VM,
		Datacentre:    n.cfg.Datacentre,
		Region:        n.cfg.Region,
		Service:       n.cfg.Service,
		Incarnation:   n.incarnation,
		State:         n.stateName(),
		Now:           now,
		UptimeSeconds: now.Sub(n.started).Seconds(),
		Superseded:    n.phase() == phaseSuperseded,
		Catalogue:     n.reportCatalogue(),
		Homes:         n.reportHomes(now),
		Members:       n.reportMemberCounts(),
		Upstreams:     n.reportUpstreams(now),
		Admission:     n.reportAdmission(),
		Store:         n.tracked.report(),
		Links: report.Links{
			Up:            up,
			Silent:        wanted - up,
			BytesSent:     traffic.SentBytes,
			BytesReceived: traffic.ReceivedBytes,
		},
		RingsRefused: map[string]uint64{"control": n.control.queue.Refused()},
	}
}

func (n *Node) stateName() string {
	switch n.phase() {
	case phaseStarting:
		return report.StateStarting
	case phaseLeaving:
		return report.StateLeaving
	default:
		return report.StateUp
	}
}

func (n *Node) reportCatalogue() report.Catalogue {
	current, version := n.catalogue.Current()
	c := report.Catalogue{Version: version, Kinds: len(current.Kinds())}
	change := n.catalogue.Change()
	c.EditID, c.Author = change.EditID, change.Author
	for _, r := range n.catalogue.Refused() {
		c.Refused = append(c.Refused, report.RefusedCatalogue{Version: r.Version, Error: r.Err.Error()})
	}
	return c
}

func (n *Node) reportHomes(now time.Time) report.Homes {
	d := n.homes.Current()
	return report.Homes{Version: d.Version, Confirmed: d.Confirmed, IsHome: n.isHome(now)}
}

func (n *Node) reportMemberCounts() report.Members {
	list := n.control.members.Load()
	counts := make(map[string]int)
	for _, m := range list.all {
		counts[membership.StateName(m.State)]++
	}
	return report.Members{ByState: counts, Digest: list.digest, Watcher: n.control.watcher.Load()}
}

func (n *Node) reportMembers() []report.Member {
	var members []report.Member
	for _, m := range n.control.members.Load().all {
		members = append(members, report.Member{
			VM:           m.Vm,
			Service:      m.Service,
			Datacentre:   m.Datacentre,
			Region:       m.Region,
			AdminAddress: m.AdminAddress,
			State:        membership.StateName(m.State),
		})
	}
	return members
}

func (n *Node) reportUpstreams(now time.Time) []report.Upstream {
	var list []report.Upstream
	for _, s := range n.router.Snapshot(now) {
		list = append(list, report.Upstream{
			Service:    s.Target.Service,
			VM:         s.Target.VM,
			Datacentre: s.Target.Datacentre,
			State:      upstreamState(s.Status),
			Reason:     s.Reason,
			InFlight:   s.InFlight,
			LatencyMs:  float64(s.Latency) / float64(time.Millisecond),
		})
	}
	return list
}

func upstreamState(s routing.Status) string {
	switch s {
	case routing.StatusUp:
		return report.UpstreamIn
	case routing.StatusCold, routing.StatusProbing:
		return report.UpstreamCold
	case routing.StatusUnlinked:
		return report.UpstreamUnknown
	default:
		return report.UpstreamOut
	}
}

func (n *Node) reportAdmission() report.Admission {
	l := n.gate.Load()
	return report.Admission{
		Slots:      n.cfg.Slots,
		Limit:      l.Limit,
		InFlight:   l.InFlight,
		Queued:     l.Queued,
		Level:      int(l.Threshold),
		LevelClass: l.Threshold.Class().String(),
		Admitted:   n.metrics.reportAdmitted(),
		Shed:       n.metrics.reportSheds(),
	}
}

func (s *trackedStore) report() report.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return report.Store{
		LastAnswer: s.lastAnswer,
		Down:       s.availability.AvailableSince().IsZero(),
		LastError:  s.lastError,
		Reads:      s.reads,
		Writes:     s.writes,
		Watches:    s.watches,
	}
}

func limitDetail(limit int, threshold contract.Level) string {
	return fmt.Sprintf("limit %d, sheds below level %d", limit, threshold)
}

func (n *Node) recordCatalogue(version uint64) {
	n.record(timeline.Event{Kind: timeline.KindCatalogueInForce, Detail: fmt.Sprintf("version %d", version)})
}

func (n *Node) recordRefused(name string, version uint64, from string, err error) {
	n.log.Warn("document refused", "document", name, "version", version, "from", from, "err", err)
	kind := timeline.KindCatalogueRefused
	if name == documentHomes {
		kind = timeline.KindHomes
	}
	n.record(timeline.Event{
		Kind:   kind,
		Peer:   from,
		Detail: fmt.Sprintf("%s version %d refused: %v", name, version, err),
	})
}

func (n *Node) recordOrderBegun(req *linkpb.CallRequest, kind *contract.Kind) {
	e := timeline.Event{
		Kind:        timeline.KindOrderBegun,
		Depth:       uint8(req.Depth),
		Service:     kind.Service,
		RequestKind: kind.Name,
		Peer:        req.FromVm,
	}
	copy(e.Root[:], req.RootId)
	copy(e.Order[:], req.OrderId)
	n.record(e)
}
