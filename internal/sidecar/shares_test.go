package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/routes"
	"heathershed/internal/workspace"
)

// Guards against ranks of requests without a workspace that differ from those before
// shares, and against shares that change the class.
func TestLevelFollowsTheShareOfTheWorkspace(t *testing.T) {
	n := &Node{}
	now := time.Unix(1e9, 0)
	busy := &workspace.Workspace{Name: "busy"}
	idle := &workspace.Workspace{Name: "idle", Priority: 1, HasPriority: true}
	route := &routes.Route{Rank: 2}
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		c := &call{route: route, attempt: fmt.Sprint(i)}
		n.setLevel(now, c)
		if want := levelOf(route.Rank, c.attempt); c.level != want || c.shared {
			t.Fatalf("without a workspace: got level %d, shared %v, want the hash %d", c.level, c.shared, want)
		}
		c.workspace = busy
		n.setLevel(now, c)
		if c.level.Class() != contract.ClassLookup || !c.shared {
			t.Fatalf("got class %v, shared %v, want that of the route, shared", c.level.Class(), c.shared)
		}
	}
	c := &call{route: route, attempt: "x", workspace: idle}
	n.setLevel(now, c)
	if c.level.Class() != contract.ClassCheck {
		t.Errorf("got class %v, want that of the workspace's priority", c.level.Class())
	}
	idle.HasPriority = false
	for i := range 10 {
		c := &call{route: route, attempt: fmt.Sprint("idle", i), workspace: idle}
		n.setLevel(now, c)
		if c.level < contract.RanksPerClass*9/10 {
			t.Errorf("workspace with next to no demand: got level %d, want one of the highest", c.level)
		}
	}
}

// Guards against a rejection that names a share where none was decided on.
func TestOverloadDetail(t *testing.T) {
	if got := overloadDetail("no room", "w", true); !strings.Contains(got, "workspace w has its share") {
		t.Errorf("got %q", got)
	}
	if got := overloadDetail("no room", "", false); got != "no room" {
		t.Errorf("got %q, want it unchanged", got)
	}
}
