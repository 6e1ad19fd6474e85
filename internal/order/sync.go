package order

import (
	"sync"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// SyncTable is a Table that is safe for concurrent use. No call waits for an order
// to end: a repeat of a running one is told so at once.
type SyncTable struct {
	mu    sync.Mutex
	table *Table
}

// NewSyncTable returns a keeper of an empty table.
func NewSyncTable(config Config) *SyncTable { return &SyncTable{table: NewTable(config)} }

// Begin is Table.Begin.
func (k *SyncTable) Begin(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, limit time.Time, a Attempt) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Begin(now, id, owner, kind, fingerprint, limit, a)
}

// MarkSent is Table.MarkSent.
func (k *SyncTable) MarkSent(now time.Time, id contract.OrderID, owner, kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.MarkSent(now, id, owner, kind)
}

// End is Table.End.
func (k *SyncTable) End(now time.Time, id contract.OrderID, owner, kind string, answer Answer) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.End(now, id, owner, kind, answer)
}

// Expire is Table.Expire; call it about once a second.
func (k *SyncTable) Expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(now)
}

// Export is Table.Export.
func (k *SyncTable) Export() []*linkpb.OrderRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Export()
}

// Import is Table.Import.
func (k *SyncTable) Import(now time.Time, records []*linkpb.OrderRecord) (kept int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Import(now, records)
}

// Lookup is Table.Lookup.
func (k *SyncTable) Lookup(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, a Attempt) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Lookup(now, id, owner, kind, fingerprint, a)
}

// SyncExecutor is an Executor that is safe for concurrent use.
type SyncExecutor struct {
	mu       sync.Mutex
	executor *Executor
}

// NewSyncExecutor returns a keeper of an empty table.
func NewSyncExecutor(config Config) *SyncExecutor {
	return &SyncExecutor{executor: NewExecutor(config)}
}

// Accept is Executor.Accept.
func (k *SyncExecutor) Accept(now time.Time, id contract.OrderID, owner, kind string, number uint32, received, notAfter time.Time) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.executor.Accept(now, id, owner, kind, number, received, notAfter)
}
