package homes

import (
	"time"

	linkpb "heathershed/api/link"
)

// Intent is an editor's plan to replace one version of the document by one
// that changes some services. The editor sends Ask to all Witnesses, gives the
// answers to Taken, and may write what Edit returns, as a conditional update
// of exactly the version that the intent names.
//
// An editor that dies, or whose write has an unknown outcome, leaves witnesses
// that no longer vouch for the version. That is the safe side: if the write
// took effect, the version they would vouch for is replaced. It ends for each
// witness as soon as it learns a newer version, whoever wrote it; a refresh by
// any editor makes one, and makes the delayed write fail, if it did not take
// effect before, because its base is gone. Until then homes run ids up to the
// limit they have and refuse the rest.
//
// An Intent is not safe for concurrent use.
type Intent struct {
	base    *Document
	changed []string
	taken   map[string]bool
	asked   time.Time
}

// NewIntent plans to replace the version base, with changes of the given
// services.
func NewIntent(base *Document, changed []string) *Intent {
	return &Intent{base: base, changed: changed, taken: map[string]bool{}}
}

// Version is the version to be replaced.
func (i *Intent) Version() uint64 { return i.base.Version }

// Witnesses are the nodes whose note is wanted, each once.
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

// Ask is the message to the witnesses; now is the editor's wall clock, which
// they check. Edit never counts from an earlier time.
func (i *Intent) Ask(now time.Time) *linkpb.Vouch {
	if now.After(i.asked) {
		i.asked = now
	}
	return &linkpb.Vouch{IntentHomesVersion: i.base.Version, AskedUnixUs: now.UnixMicro()}
}

// HandleAck counts the answer of a node. A later incarnation of a witness counts
// for it: the one that could vouch is gone, and its memory with it.
func (i *Intent) HandleAck(from Home, reply *linkpb.Vouch) {
	if reply.GetIntentTaken() < i.base.Version {
		return
	}
	for _, h := range i.Witnesses() {
		if h.VM == from.VM && from.Incarnation >= h.Incarnation {
			i.taken[h.VM] = true
		}
	}
}

// ReadyFor reports whether a majority of the witnesses of a service took note.
// A service that the base doesn't hold needs none.
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
		if i.taken[h.VM] {
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

// Edit returns the version to write, with changes of those services alone that
// are ready, and the services changed. So one service without a majority does
// not hold up the others. now must be read after the answers came in.
func (i *Intent) Edit(e Editor, now time.Time, live map[string][]Home) (next *Document, changed []string) {
	if now.Before(i.asked) {
		now = i.asked
	}
	return e.edit(now, i.base, live, i.ReadyFor)
}
