package sidecar

import (
	"testing"

	"heathershed/internal/memory"
)

// processBase is what a process takes without any client, in bytes: code, runtime, links
// and the state of the other nodes.
const processBase = 32 << 20

// readAhead is the bound on what is read and run ahead, in bytes, see the package ingress.
const readAhead = 8 << 20

// Guards against budgets that together exceed the memory of the VM.
func TestBudgetsFitIntoTheMemory(t *testing.T) {
	const smallConn = 16 << 10 // bytes that a connection for metrics or of the platform takes
	for _, size := range []int64{128 << 20, 184 << 20, 284 << 20} {
		b := newBudgets(size)
		rows := map[string]int64{
			"process":             processBase,
			"bodies":              whole(b.bodies),
			"answers to clients":  whole(b.responses),
			"answers of upstream": answerMemory(size),
			"connections":         int64(maxClientConns(size)) * connMemory,
			"read-ahead":          readAhead,
			"other connections":   (maxScrapers + 2*maxPlatformConns) * smallConn,
		}
		total := int64(0)
		for _, bytes := range rows {
			total += bytes
		}
		if total > size {
			t.Errorf("%d MiB: budgets take %d MiB: %v", size>>20, total>>20, rows)
		}
		if largest := int64(wholeBody(size)); largest >= b.bodies.LargestLookup() {
			t.Errorf("%d MiB: a body of %d bytes is held, lookups may hold %d", size>>20, largest, b.bodies.LargestLookup())
		}
		if b.responses.LargestLookup() < maxAnswer {
			t.Errorf("%d MiB: the largest answer finds no memory", size>>20)
		}
	}
}

// whole returns the size of a budget in bytes.
func whole(b *memory.Budget) int64 { return b.LargestLookup() / 3 * 4 }
