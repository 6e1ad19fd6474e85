package order

import (
	"sync"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Keeper is a Table that is safe for concurrent use. No call waits for an order
// to end: a repeat of a running one is told so at once.
type Keeper struct {
	mu    sync.Mutex
	table *Table
}

// NewKeeper returns a keeper of an empty table.
func NewKeeper(config Config) *Keeper { return &Keeper{table: NewTable(config)} }

// Begin is Table.Begin.
func (k *Keeper) Begin(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, limit time.Time, a Attempt) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Begin(now, id, owner, kind, fingerprint, limit, a)
}

// Sent is Table.Sent.
func (k *Keeper) Sent(now time.Time, id contract.OrderID, owner, kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Sent(now, id, owner, kind)
}

// End is Table.End.
func (k *Keeper) End(now time.Time, id contract.OrderID, owner, kind string, answer Answer) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.End(now, id, owner, kind, answer)
}

// Expire is Table.Expire; call it about once a second.
func (k *Keeper) Expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(now)
}

// Export is Table.Export.
func (k *Keeper) Export() []*linkpb.OrderRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Export()
}

// Import is Table.Import.
func (k *Keeper) Import(now time.Time, records []*linkpb.OrderRecord) (kept int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Import(now, records)
}

// Lookup is Table.Lookup.
func (k *Keeper) Lookup(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, a Attempt) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Lookup(now, id, owner, kind, fingerprint, a)
}

// ExecutorKeeper is an Executor that is safe for concurrent use.
type ExecutorKeeper struct {
	mu       sync.Mutex
	executor *Executor
}

// NewExecutorKeeper returns a keeper of an empty table.
func NewExecutorKeeper(config Config) *ExecutorKeeper {
	return &ExecutorKeeper{executor: NewExecutor(config)}
}

// Accept is Executor.Accept.
func (k *ExecutorKeeper) Accept(now time.Time, id contract.OrderID, owner, kind string, number uint32, received, notAfter time.Time) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.executor.Accept(now, id, owner, kind, number, received, notAfter)
}
