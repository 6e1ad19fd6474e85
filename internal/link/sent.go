package link

import (
	"context"
	"time"
)

// sentMargin is added to the time that a call has left. A reply that was not sent by then
// is of no use to its caller.
const sentMargin = time.Second

type onSentKey struct{}

// OnSent makes fn be called once when the reply of the call that ctx belongs to has
// been written to its connection, or is given up. It reports false if ctx belongs to
// no call of a link.
func OnSent(ctx context.Context, fn func()) bool {
	at, ok := ctx.Value(onSentKey{}).(*func())
	if ok {
		*at = fn
	}
	return ok
}
