package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"heathershed/platform/platformtest"
)

const (
	// revokeWithin is the time within which the nodes are told to reject a key that
	// was taken away. It is longer than applyWithin, so that a node whose reads fail
	// once goes on.
	revokeWithin = 4 * time.Second
	// keyVersions is the number of versions of the configuration in which a
	// temporary key is valid.
	keyVersions = 2
	// temporaryShare, revokedShare and unknownShare are the fractions of requests with
	// a temporary key, one that may have been taken away, and one that never existed.
	temporaryShare = 0.1
	revokedShare   = 0.05
	unknownShare   = 0.03
)

// callRoute is the route of nested calls in a run with workspaces. Clients don't use it:
// without a key a call is told from a client's request by its route.
const callRoute = "calls"

// The last workspace has a limit: in any quotaWindow, at most (limitedRate x quotaWindow +
// limitedBurst) x (1 + quotaOverage) + quotaSlack of its requests are sent and run.
const (
	limitedRate  = 20.0 // requests a second
	limitedBurst = 20.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5.0
)

// unknownKey is a key that no configuration holds.
const unknownKey = "never-valid"

// workspaceNames are the workspaces of a run.
var workspaceNames = []string{"w0", "w1"}

func limitedWorkspace() string { return workspaceNames[len(workspaceNames)-1] }

// permanentKey returns the key that a workspace holds in all versions.
func permanentKey(workspace string) string { return workspace + "-permanent" }

// temporaryKey returns the key that a workspace gets with a version. It is taken away
// by the version keyVersions later.
func temporaryKey(workspace string, version int) string {
	return fmt.Sprintf("%s-temporary-%d", workspace, version)
}

// workspaceKeys returns the keys of each workspace in a version.
func workspaceKeys(version int) map[string][]string {
	keys := make(map[string][]string)
	for _, name := range workspaceNames {
		keys[name] = []string{permanentKey(name)}
		for v := max(version-keyVersions+1, 1); v <= version; v++ {
			keys[name] = append(keys[name], temporaryKey(name, v))
		}
	}
	return keys
}

// credential is the key that an attempt was sent with.
type credential struct {
	key, workspace string
	sent           time.Time
}

// workspaces records which keys clients present, when keys were taken away, and checks
// that upstreams get requests of valid keys only. The nil value checks nothing. It is
// safe for concurrent use.
type workspaces struct {
	ledger *Ledger

	mu      sync.Mutex
	sent    map[string]credential // by root attempt
	version int
	// revoked is when the version that took a key away was acknowledged.
	revoked map[string]time.Time
	// limited are the runs of clients' requests of the workspace with a limit.
	limited []limitedRun
}

// limitedRun is when a request was sent and when it began to run.
type limitedRun struct{ sent, ran time.Time }

func newWorkspaces(l *Ledger) *workspaces {
	return &workspaces{ledger: l, sent: make(map[string]credential), revoked: make(map[string]time.Time)}
}

// callPath returns the path of nested calls.
func (w *workspaces) callPath() string {
	if w == nil {
		return "/" + services[0] + "/below"
	}
	return "/" + callRoute + "/below"
}

// config adds the workspaces to a configuration.
func (w *workspaces) config(config string, version int) string {
	if w == nil {
		return config
	}
	config = platformtest.WithRoute(config, callRoute, services[0])
	config = platformtest.WithWorkspaces(config, workspaceKeys(version), "")
	return platformtest.WithLimit(config, limitedWorkspace(), limitedRate, limitedBurst)
}

// accepted records that the object API has acknowledged a version.
func (w *workspaces) accepted(version int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
	for _, name := range workspaceNames {
		if gone := version - keyVersions; gone > 0 {
			w.revoked[temporaryKey(name, gone)] = time.Now()
		}
	}
}

// draw returns a key for the next request of a client and the workspace that it belongs
// to; the latter is empty for an unknown key.
func (w *workspaces) draw(rng *rand.Rand) (key, workspace string) {
	if w == nil {
		return "", ""
	}
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	workspace = workspaceNames[rng.IntN(len(workspaceNames))]
	switch share := rng.Float64(); {
	case share < unknownShare:
		return unknownKey, ""
	case share < unknownShare+revokedShare:
		return temporaryKey(workspace, 1+rng.IntN(max(version-keyVersions, 1))), workspace
	case share < unknownShare+revokedShare+temporaryShare:
		return temporaryKey(workspace, max(version, 1)), workspace
	}
	return permanentKey(workspace), workspace
}

// probeKey returns the key of requests that check a node's state.
func (w *workspaces) probeKey() string {
	if w == nil {
		return ""
	}
	return permanentKey(workspaceNames[0])
}

// recordSent records the key that an attempt is sent with.
func (w *workspaces) recordSent(attempt, key, workspace string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[attempt] = credential{key: key, workspace: workspace, sent: time.Now()}
}

// checkAnswer checks the status that a client got: a permanent key is never unknown.
func (w *workspaces) checkAnswer(attempt string, status int) {
	if w == nil || status != http.StatusUnauthorized {
		return
	}
	w.mu.Lock()
	c := w.sent[attempt]
	w.mu.Unlock()
	if c.workspace != "" && c.key == permanentKey(c.workspace) {
		w.ledger.AddViolation(KeyRejected, attempt, "401 for a key of all versions")
	}
}

// checkRun checks a request that arrives at an upstream. Nested calls belong to the
// workspace of their root request, or to none where several requests may have made them.
func (w *workspaces) checkRun(attempt string, h http.Header) {
	if w == nil {
		return
	}
	if h.Get("Authorization") != "" {
		w.ledger.AddViolation(KeyForwarded, attempt, "an upstream got the key")
	}
	root, _, nested := strings.Cut(attempt, nestedMark)
	w.mu.Lock()
	c, known := w.sent[root]
	revoked := w.revoked[c.key]
	w.mu.Unlock()
	if !known {
		return // a probe of the run itself
	}
	got := h.Get(platformtest.HeaderTenant)
	if uncertain := nested && got == ""; got != c.workspace && !uncertain {
		w.ledger.AddViolation(WrongWorkspace, attempt, fmt.Sprintf("workspace %q, want %q", got, c.workspace))
	}
	if c.workspace == limitedWorkspace() && !nested {
		w.mu.Lock()
		w.limited = append(w.limited, limitedRun{c.sent, time.Now()})
		w.mu.Unlock()
	}
	if late := c.sent.Sub(revoked); !nested && !revoked.IsZero() && late > revokeWithin {
		w.ledger.AddViolation(KeyRevoked, attempt, fmt.Sprintf("sent %v after its key was taken away", late.Round(time.Millisecond)))
	}
}

// checkLimit checks the limit over all windows of the run.
func (w *workspaces) checkLimit() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaSlack
	most, at := 0, time.Time{}
	for _, first := range w.limited {
		count := 0
		for _, r := range w.limited {
			if !r.sent.Before(first.sent) && r.ran.Before(first.sent.Add(quotaWindow)) {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	if float64(most) > allowed {
		w.ledger.AddViolation(OverQuota, "", fmt.Sprintf("%d requests from %v on, %.0f allowed", most, at.Sub(w.ledger.start).Round(time.Millisecond), allowed))
	}
}
