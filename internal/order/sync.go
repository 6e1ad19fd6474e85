package order

import (
	"sync"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// SyncTable is a Table that is safe for concurrent use. No method waits for an
// order to end: Begin returns DecisionRunning immediately for an order that is
// running.
type SyncTable struct {
	mu    sync.Mutex
	table *Table
}

// NewSyncTable returns an empty table.
func NewSyncTable(config Config) *SyncTable { return &SyncTable{table: NewTable(config)} }

// Begin calls Table.Begin.
func (t *SyncTable) Begin(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, limit time.Time, a Attempt) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Begin(now, id, owner, kind, fingerprint, limit, a)
}

// MarkSent calls Table.MarkSent.
func (t *SyncTable) MarkSent(now time.Time, id contract.OrderID, owner, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.MarkSent(now, id, owner, kind)
}

// End calls Table.End.
func (t *SyncTable) End(now time.Time, id contract.OrderID, owner, kind string, answer Answer) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.End(now, id, owner, kind, answer)
}

// Expire calls Table.Expire. It should be called about once a second.
func (t *SyncTable) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Expire(now)
}

// Export calls Table.Export.
func (t *SyncTable) Export() []*linkpb.OrderRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Export()
}

// Import calls Table.Import.
func (t *SyncTable) Import(now time.Time, records []*linkpb.OrderRecord) (kept int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Import(now, records)
}

// Lookup calls Table.Lookup.
func (t *SyncTable) Lookup(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, a Attempt) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Lookup(now, id, owner, kind, fingerprint, a)
}

// SyncExecutor is an Executor that is safe for concurrent use.
type SyncExecutor struct {
	mu       sync.Mutex
	executor *Executor
}

// NewSyncExecutor returns an empty table.
func NewSyncExecutor(config Config) *SyncExecutor {
	return &SyncExecutor{executor: NewExecutor(config)}
}

// Accept calls Executor.Accept.
func (e *SyncExecutor) Accept(now time.Time, id contract.OrderID, owner, kind string, number uint32, received, notAfter time.Time) Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executor.Accept(now, id, owner, kind, number, received, notAfter)
}
