package soak

import (
	"net/http"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// Guards against checks that miss a planted fault: a forwarded key, a revoked or unknown
// key that runs, a wrong workspace, a valid key that is rejected.
func TestPlantedFaultsOfWorkspacesAreFound(t *testing.T) {
	const attempt = "vm-0-c1-17"
	header := func(workspace string) http.Header { return http.Header{platformtest.HeaderTenant: {workspace}} }
	forwarded := header("w0")
	forwarded.Set("Authorization", "Bearer "+permanentKey("w0"))
	cases := []struct {
		name, key, workspace string
		sentAfter            time.Duration // the key was taken away
		check                func(*workspaces)
		want                 Promise // empty for none
	}{
		{"valid key", permanentKey("w0"), "w0", 0, func(w *workspaces) { w.checkRun(attempt, header("w0")) }, ""},
		{"nested call", permanentKey("w0"), "w0", 0, func(w *workspaces) { w.checkRun(attempt+nestedMark+"1", header("w0")) }, ""},
		{"forwarded", permanentKey("w0"), "w0", 0, func(w *workspaces) { w.checkRun(attempt, forwarded) }, KeyForwarded},
		{"forged workspace", permanentKey("w0"), "w0", 0, func(w *workspaces) { w.checkRun(attempt, header("forged")) }, WrongWorkspace},
		{"nested call of another workspace", permanentKey("w0"), "w0", 0, func(w *workspaces) { w.checkRun(attempt+nestedMark+"1", header("w1")) }, WrongWorkspace},
		{"unknown key", unknownKey, "", 0, func(w *workspaces) { w.checkRun(attempt, header("w0")) }, WrongWorkspace},
		{"revoked within the bound", temporaryKey("w0", 1), "w0", revokeWithin - time.Second, func(w *workspaces) { w.checkRun(attempt, header("w0")) }, ""},
		{"revoked before the bound", temporaryKey("w0", 1), "w0", revokeWithin + time.Second, func(w *workspaces) { w.checkRun(attempt, header("w0")) }, KeyRevoked},
		{"valid key rejected", permanentKey("w0"), "w0", 0, func(w *workspaces) { w.checkAnswer(attempt, http.StatusUnauthorized) }, KeyRejected},
		{"revoked key rejected", temporaryKey("w0", 1), "w0", 0, func(w *workspaces) { w.checkAnswer(attempt, http.StatusUnauthorized) }, ""},
	}
	for _, c := range cases {
		l := NewLedger(time.Now())
		w := newWorkspaces(l)
		w.recordSent(attempt, c.key, c.workspace)
		if c.sentAfter > 0 {
			w.revoked[c.key] = time.Now().Add(-c.sentAfter)
		}
		c.check(w)
		var got Promise
		if found := l.Violations(); len(found) > 0 {
			got = found[0].Promise
		}
		if got != c.want {
			t.Errorf("%s: got violation %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a check that misses a workspace over its limit, or finds one that is not.
func TestPlantedOverrunOfALimitIsFound(t *testing.T) {
	const attempts = 300
	for interval, want := range map[time.Duration]int{time.Second / limitedRate: 0, time.Second / (2 * limitedRate): 1} {
		l := NewLedger(time.Now())
		w := newWorkspaces(l)
		for i := range attempts {
			at := time.Now().Add(time.Duration(i) * interval)
			w.limited = append(w.limited, limitedRun{at, at})
		}
		w.checkLimit()
		if got := len(l.Violations()); got != want {
			t.Errorf("a request each %v: got %d violations, want %d", interval, got, want)
		}
	}
}
