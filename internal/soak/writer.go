package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"heathershed/platform/platformtest"
)

// meanWriterInterval is the mean time between two messages of other writers.
const meanWriterInterval = 500 * time.Millisecond

// writerKinds are messages of other writers to a node. They are drawn apart from the other
// faults, so that the plans of earlier seeds keep theirs. None of them may be acknowledged,
// and none excuses a violation.
var writerKinds = []faultKind{
	{"heartbeat without a field", foreignHeartbeat(withoutField)},
	{"heartbeat with null", foreignHeartbeat(withNull)},
	{"heartbeat of another service", foreignHeartbeat(ofAnotherService)},
	{"heartbeat of another address", foreignHeartbeat(ofAnotherAddress)},
	{"heartbeat with an unknown state", foreignHeartbeat(withUnknownState)},
	{"heartbeat that can't be read", foreignHeartbeat(unreadable)},
}

// foreignMessage is a message in the name of an instance.
type foreignMessage struct{ id, body string }

// writerFunc returns the message of another writer. valid is what the upstream would send
// next, with a number that is higher.
type writerFunc func(u *Upstream, valid string, draw uint64) foreignMessage

func foreignHeartbeat(write writerFunc) faultFunc {
	return func(r *run, v *vm, e Event) {
		u := v.upstream
		u.mu.Lock()
		id, valid := u.id, platformtest.Heartbeat(u.service, u.address, "ready", u.seq+1000)
		u.mu.Unlock()
		m := write(u, valid, e.Draw)
		if m.id == "" {
			m.id = id
		}
		client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		if post(client, "http://"+u.heartbeatAddr+platformtest.HeartbeatPath(m.id), m.body) {
			r.ledger.AddViolation(Believed, m.id, fmt.Sprintf("%s on %s: %s", e.Kind, v.name, m.body))
		}
	}
}

// omittedFields are required fields of platformtest.Heartbeat, one of which is left out.
var omittedFields = []string{`"zone":"west",`, `"version":"v1",`, `"capacity":4,`, `"warmupLeft":"0ms",`}

func withoutField(_ *Upstream, valid string, draw uint64) foreignMessage {
	return foreignMessage{body: strings.Replace(valid, omittedFields[draw%uint64(len(omittedFields))], "", 1)}
}

func withNull(_ *Upstream, valid string, _ uint64) foreignMessage {
	return foreignMessage{body: strings.Replace(valid, `"capacity":4`, `"capacity":null`, 1)}
}

// ofAnotherService is a late heartbeat of an earlier upstream, or names no service.
func ofAnotherService(u *Upstream, valid string, draw uint64) foreignMessage {
	names := append([]string{"unnamed"}, services...)
	name := names[draw%uint64(len(names))]
	if name == u.service {
		name = "unnamed"
	}
	body := strings.Replace(valid, fmt.Sprintf("%q", u.service), fmt.Sprintf("%q", name), 1)
	return foreignMessage{id: "i-other", body: platformtest.WithBorn(body, time.Now().UnixMilli())}
}

func ofAnotherAddress(u *Upstream, valid string, _ uint64) foreignMessage {
	return foreignMessage{id: "i-other", body: strings.Replace(valid, u.address, "127.0.0.1:1", 1)}
}

func withUnknownState(_ *Upstream, valid string, _ uint64) foreignMessage {
	return foreignMessage{body: strings.Replace(valid, `"ready"`, `"READY"`, 1)}
}

func unreadable(_ *Upstream, valid string, draw uint64) foreignMessage {
	return foreignMessage{body: valid[:1+draw%uint64(len(valid)-1)]}
}
