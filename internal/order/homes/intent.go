package homes

import (
	"time"

	linkpb "heathershed/api/link"
)

// Intent is an editor's plan to replace one version of the document by a
// version that changes some services. The editor sends Ask to all Witnesses
// and passes the replies to HandleAck. It may then write the result of Edit,
// as a conditional update of exactly the version that the intent names.
//
// If an editor crashes, or its write has an unknown outcome, some witnesses no
// longer confirm the version. This is safe: if the write took effect, the
// version they would confirm has been replaced. Each witness resumes
// confirming when it learns of a newer version from any editor. A refresh
// creates one. It also makes a delayed write of the first editor fail, unless
// that write took effect before, because its base is then gone. Until a newer
// version is known, homes run ids up to their current limit and reject the
// others.
//
// An Intent is not safe for concurrent use.
type Intent struct {
	base    *Document
	changed []string
	acked   map[string]bool
	asked   time.Time
}

// NewIntent returns an intent to replace the version base, changing the given
// services.
func NewIntent(base *Document, changed []string) *Intent {
	return &Intent{base: base, changed: changed, acked: map[string]bool{}}
}

// Version returns the version to be replaced.
func (i *Intent) Version() uint64 { return i.base.Version }

// Witnesses returns the nodes that should acknowledge the intent, each once.
func (i *Intent) Witnesses() []Home {
	var all []Home
	for _, service := range i.changed {
		for _, h := range i.base.Witnesses[service] {
			if !contains(all, h) {
				all = append(all, h)
			}
		}
	}
	return all
}

// Ask returns the message to the witnesses. now is the editor's wall-clock
// time, which the witnesses check. Edit never uses an earlier time than that
// of the latest Ask.
func (i *Intent) Ask(now time.Time) *linkpb.Vouch {
	if now.After(i.asked) {
		i.asked = now
	}
	return &linkpb.Vouch{IntentHomesVersion: i.base.Version, AskedUnixUs: now.UnixMicro()}
}

// HandleAck counts the reply of a node. The reply acknowledges the intent if its
// IntentTaken is at least the intent's version. A later incarnation of a witness
// counts as that witness: the incarnation that could have confirmed is gone, and
// its memory with it.
func (i *Intent) HandleAck(from Home, reply *linkpb.Vouch) {
	if reply.GetIntentTaken() < i.base.Version {
		return
	}
	for _, h := range i.Witnesses() {
		if h.VM == from.VM && from.Incarnation >= h.Incarnation {
			i.acked[h.VM] = true
		}
	}
}

// ReadyFor reports whether a majority of the witnesses of a service has
// acknowledged the intent. A service that the base does not contain needs no
// acknowledgement.
func (i *Intent) ReadyFor(service string) bool {
	planned := false
	for _, s := range i.changed {
		planned = planned || s == service
	}
	if !planned {
		return false
	}
	witnesses := i.base.Witnesses[service]
	if len(witnesses) == 0 {
		return true
	}
	n := 0
	for _, h := range witnesses {
		if i.acked[h.VM] {
			n++
		}
	}
	return n >= majority(len(witnesses))
}

// Ready reports whether every changed service has its majority.
func (i *Intent) Ready() bool {
	for _, service := range i.changed {
		if !i.ReadyFor(service) {
			return false
		}
	}
	return true
}

// Edit returns the version to write and the services that it changes. It
// changes only the services that are ready, so that a service without a
// majority does not delay the others. now must be read after the
// acknowledgements were received.
func (i *Intent) Edit(e Editor, now time.Time, live map[string][]Home) (next *Document, changed []string) {
	if now.Before(i.asked) {
		now = i.asked
	}
	return e.edit(now, i.base, live, i.ReadyFor)
}
