package contract

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// The headers that heathershed exchanges with callers and upstreams.
const (
	// HeaderCall names the request that a nested call belongs to. A node sets it
	// on the request to its upstream, and the upstream copies it to its nested
	// calls.
	HeaderCall = "Heathershed-Call"
	// HeaderTimeout is the time left, in milliseconds, on requests from callers
	// and to upstreams.
	HeaderTimeout = "Heathershed-Timeout-Ms"
	// HeaderAttempt is the number of the caller's own attempt, counted from 0.
	HeaderAttempt = "Heathershed-Attempt"
	// HeaderOrder is the order id: a UUID of version 7.
	HeaderOrder = "Heathershed-Order-Id"
	// HeaderRoot is the id of the root request. It is on every answer.
	HeaderRoot = "Heathershed-Request-Id"
	// HeaderVerdict and HeaderReason are on every answer.
	HeaderVerdict = "Heathershed-Verdict"
	HeaderReason  = "Heathershed-Reason"
	// HeaderRetryAfter is the time to wait before a retry, in milliseconds.
	HeaderRetryAfter = "Heathershed-Retry-After-Ms"
	// HeaderNotAfter is the wall-clock time, in Unix milliseconds, after which
	// the upstream must not start the request.
	HeaderNotAfter = "Heathershed-Not-After-Ms"
)

// ReturnDivisor bounds how long a client waits before it sends a rejected request
// again: the time that it has left divided by ReturnDivisor.
const ReturnDivisor = 3

// RootID identifies a root request and all its nested calls.
type RootID [16]byte

// NewRootID returns a new random id.
func NewRootID() RootID { return RootID(uuid.New()) }

// String returns the id in hexadecimal.
func (id RootID) String() string { return hex.EncodeToString(id[:]) }

// Rank returns the rank of the root request within its class, below
// RanksPerClass. It depends on the id only, so that every hop sheds the same
// requests.
func (id RootID) Rank() uint16 {
	return uint16(xxhash.Sum64(id[:]) % RanksPerClass)
}

// OrderID identifies an order. It is a UUID of version 7, which contains the
// time at which it was generated. The zero OrderID means "no order".
type OrderID [16]byte

// NewOrderID returns a new id that contains the current time.
func NewOrderID() (OrderID, error) {
	id, err := uuid.NewV7()
	return OrderID(id), errors.Wrap(err, "order id")
}

// ParseOrderID parses an order id as callers send it. It returns an error if s
// is not a UUID of version 7.
func ParseOrderID(s string) (OrderID, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return OrderID{}, errors.Newf("order id %.64q: want a UUID of version 7", s)
	}
	if id.Version() != 7 {
		return OrderID{}, errors.Newf("order id %s: want a UUID of version 7, not %d", id, id.Version())
	}
	return OrderID(id), nil
}

// String returns the id in the standard form of a UUID.
func (id OrderID) String() string { return uuid.UUID(id).String() }

// IsZero reports whether there is no order.
func (id OrderID) IsZero() bool { return id == OrderID{} }

// Time returns the time at which the id was generated, in milliseconds of the
// generator's wall clock.
func (id OrderID) Time() time.Time {
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 |
		int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms)
}
