package load

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The names of triggers.
const (
	// TriggerSlow slows down the work of a service: slow:SERVICE[:FACTOR].
	TriggerSlow = "slow"
	// TriggerSurge multiplies the rate of lookups, whose callers then retry
	// without a wait: surge[:FACTOR].
	TriggerSurge = "surge"
	// TriggerSilent blackholes the open connections to a service's upstreams
	// until they close: silent:SERVICE.
	TriggerSilent = "silent"
	// TriggerStore takes the platform down: store.
	TriggerStore = "store"
	// TriggerKill kills a VM, node and upstream, permanently: kill:VM.
	TriggerKill = "kill"
	// TriggerStop shuts down a VM's node gracefully: stop:VM. Callers use other
	// nodes from then on.
	TriggerStop = "stop"
	// TriggerPause pauses the process of a VM's node for the time: pause:VM.
	TriggerPause = "pause"
	// TriggerCut pauses all nodes of a data centre for the time:
	// cut:DATACENTRE.
	TriggerCut = "cut"
	// TriggerTruncate truncates a share of a service's answers:
	// truncate:SERVICE[:PERCENT].
	TriggerTruncate = "truncate"
	// TriggerIdle closes reused connections on a share of requests before these
	// run: idle:SERVICE[:PERCENT].
	TriggerIdle = "idle"
	// TriggerLie makes load endpoints report a false load:
	// lie:SERVICE[:zero|full].
	TriggerLie = "lie"
	// TriggerRefuse makes upstreams reject requests if all slots are taken:
	// refuse:SERVICE.
	TriggerRefuse = "refuse"
)

// Trigger is one fault or overload for a time.
type Trigger struct {
	Name string
	// Target is a service, VM or data centre, if the name needs one.
	Target string
	// Value is a factor, percentage or mode, if the name takes one.
	Value string
	// At and For are the start and the length. At counts from the start of the
	// load.
	At, For time.Duration
}

// defaultValues are the values of triggers that take one.
var defaultValues = map[string]string{
	TriggerSlow: "20", TriggerSurge: "10", TriggerTruncate: "10", TriggerIdle: "20", TriggerLie: "zero",
}

// ParseTriggers parses a comma-separated list of NAME[:TARGET[:VALUE]]@AT+FOR,
// for example "slow:sightbank:20@8s+8s,store@8s+8s".
func ParseTriggers(text string, l *Layout) ([]Trigger, error) {
	var out []Trigger
	for _, part := range strings.Split(text, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		t, err := parseTrigger(strings.TrimSpace(part), l)
		if err != nil {
			return nil, errors.Wrapf(err, "trigger %q", part)
		}
		out = append(out, t)
	}
	return out, nil
}

func parseTrigger(text string, l *Layout) (Trigger, error) {
	what, when, ok := strings.Cut(text, "@")
	at, length, ok2 := strings.Cut(when, "+")
	if !ok || !ok2 {
		return Trigger{}, errors.New("want NAME[:TARGET[:VALUE]]@AT+FOR")
	}
	var t Trigger
	var err error
	if t.At, err = time.ParseDuration(at); err != nil {
		return t, err
	}
	if t.For, err = time.ParseDuration(length); err != nil {
		return t, err
	}
	parts := strings.SplitN(what, ":", 3)
	t.Name, t.Value = parts[0], defaultValues[parts[0]]
	parts = parts[1:]
	if t.needsTarget() {
		if len(parts) == 0 {
			return t, errors.Newf("%s needs a target", t.Name)
		}
		t.Target, parts = parts[0], parts[1:]
	}
	if len(parts) > 0 {
		t.Value = parts[0]
	}
	if err := t.checkValue(); err != nil {
		return t, err
	}
	return t, t.check(l)
}

func (t Trigger) needsTarget() bool { return t.Name != TriggerSurge && t.Name != TriggerStore }

// check returns an error if the name is unknown or the target is not in the
// layout.
func (t Trigger) check(l *Layout) error {
	switch t.Name {
	case TriggerSurge, TriggerStore:
		return nil
	case TriggerKill, TriggerPause, TriggerStop:
		if _, ok := l.VM(t.Target); !ok {
			return errors.Newf("unknown VM %q", t.Target)
		}
	case TriggerCut:
		for _, vm := range l.VMs {
			if vm.Datacentre == t.Target {
				return nil
			}
		}
		return errors.Newf("unknown data centre %q", t.Target)
	case TriggerSlow, TriggerSilent, TriggerTruncate, TriggerIdle, TriggerLie, TriggerRefuse:
		if len(l.VMsOf(t.Target)) == 0 || t.Target == "" {
			return errors.Newf("unknown service %q", t.Target)
		}
	default:
		return errors.Newf("unknown trigger %q", t.Name)
	}
	return nil
}

// checkValue returns an error if the value is not allowed for the name.
func (t Trigger) checkValue() error {
	highest := math.MaxFloat64
	switch t.Name {
	case TriggerTruncate, TriggerIdle:
		highest = 100
	case TriggerSlow, TriggerSurge:
	case TriggerLie:
		if t.Value != "zero" && t.Value != "full" {
			return errors.Newf("%q: want zero or full", t.Value)
		}
		return nil
	default:
		if t.Value != "" {
			return errors.Newf("%s takes no value", t.Name)
		}
		return nil
	}
	if n := t.number(); !(n > 0 && n <= highest) {
		return errors.Newf("%q: want a number greater than 0 and at most %g", t.Value, highest)
	}
	return nil
}

// number returns the value as a number, or 0 if it is none.
func (t Trigger) number() float64 {
	n, err := strconv.ParseFloat(t.Value, 64)
	if err != nil {
		return 0
	}
	return n
}

// String returns the trigger in the form that ParseTriggers reads.
func (t Trigger) String() string {
	s := t.Name
	if t.Target != "" {
		s += ":" + t.Target
	}
	if t.Value != "" {
		s += ":" + t.Value
	}
	return fmt.Sprintf("%s@%s+%s", s, t.At, t.For)
}
