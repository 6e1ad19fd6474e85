package sidecar

import (
	"net/http"
	"regexp"
	"testing"
)

func TestRefusalWithoutARouteTellsVersionAndAge(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(7, "s")
	m := tc.start("s")
	tc.waitFor("ready", m.ready)
	got := m.request("GET", "/missing/x", nil)
	want := regexp.MustCompile(`in version 7, confirmed \d+ ms ago by read`)
	if got.status != http.StatusNotFound || !want.MatchString(got.body) {
		t.Errorf("got status %d and %q, want 404 and %q", got.status, got.body, want)
	}
}
