// Package order runs orders at most once. An order is a request that must not
// run twice; its caller gives it an id and may repeat it under that id.
//
// The package contains the record table of an order's home node (Table), the
// execution table of a VM that runs orders on behalf of their homes
// (Executor), and the verdicts that apply when a home cannot be reached.
//
// The home of an order id, see package homes, writes a record before it sends
// anything and keeps the record until Horizon has passed since the time
// embedded in the id. Ids older than that are rejected. A repeated order
// therefore finds the record, is too old, or reaches a process that is not the
// home and does not run it.
//
// # When an order counts as not run
//
// A caller that receives "not run" may submit the same order under another id.
// The verdict therefore applies to the id and not to a single message: the
// order has not run, and no copy of it that any node had already received when
// the verdict was given will run it. Copies can arrive late, because a caller
// may repeat an order while a link still carries the first copy. Three rules
// follow:
//
//   - A home that ends an order as not run keeps a record that fences off
//     copies received before the verdict, see Attempt. A copy that is known to
//     be later runs.
//   - A node that cannot consult the record (no home is known, the home's
//     authority does not cover the id, or the table is full) returns "not run"
//     only if the caller states that this is its first attempt. Otherwise
//     another copy may exist, and the verdict is "may have run". A caller that
//     repeats the same id loses nothing by it.
//   - A node that has sent an order to a home once and sends it again must no
//     longer mark it as the caller's first attempt.
//
// Table and Executor perform no I/O, take the time as an argument and are not
// safe for concurrent use. SyncTable and SyncExecutor are.
package order

import "time"

// Default values of Config.
const (
	// DefaultHorizon is how long a record is kept, counted from the time
	// embedded in the order id.
	DefaultHorizon = 10 * time.Minute
	// DefaultMaxRecords bounds the number of records of one home.
	DefaultMaxRecords = 20_000
	// DefaultMaxBytes bounds the total size in bytes of the bodies and headers
	// of recorded answers.
	DefaultMaxBytes = 8 << 20
	// DefaultClockMargin is the largest tolerated difference between the wall
	// clocks of two VMs.
	DefaultClockMargin = time.Second
)
