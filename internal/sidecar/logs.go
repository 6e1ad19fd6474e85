package sidecar

import (
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// logEnd writes the line of a request that ended without an upstream's answer.
func (n *Node) logEnd(c *call, reply *linkpb.CallReply, took time.Duration) {
	verdict := contract.Verdict(reply.Verdict)
	if verdict == contract.Ran {
		return
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	n.log.Info("request failed", "id", c.attempt, "route", route, "service", c.service, "inner", c.inner,
		"verdict", verdict.String(), "reason", contract.Reason(reply.Reason).String(),
		"detail", reply.Detail, "vm", reply.Vm, "took_ms", took.Milliseconds())
}
