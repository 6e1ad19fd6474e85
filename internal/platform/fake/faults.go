package fake

import "time"

// Faults configures which faults are injected. The zero value injects none.
// Probabilities are in [0, 1], from never to always, and are drawn from the
// store's seeded random source.
type Faults struct {
	// Down makes every call fail, including blocked watches.
	Down bool `json:"down"`
	// Rejected is the probability that a server rejects a call for overload
	// without executing it.
	Rejected float64 `json:"rejected"`
	// Latency is added once to every call. A watch waits for it before it
	// blocks.
	Latency time.Duration `json:"latency_ns"`
	// LostAnswer is the probability that a write takes effect but returns
	// platform.ErrUnknown.
	LostAnswer float64 `json:"lost_answer"`
	// DelayedWrite is the probability that a write returns platform.ErrUnknown
	// and is applied only after WriteDelay, against the version current at
	// that time.
	DelayedWrite float64 `json:"delayed_write"`
	// WriteDelay is the delay of a delayed write.
	WriteDelay time.Duration `json:"write_delay_ns"`
	// DroppedWrite is the probability that a write returns platform.ErrUnknown
	// and never takes effect.
	DroppedWrite float64 `json:"dropped_write"`
	// StaleRead is the probability that a Get or List is answered from the
	// state of StaleBy ago.
	StaleRead float64 `json:"stale_read"`
	// StaleBy is the age of the state that stale reads return.
	StaleBy time.Duration `json:"stale_by_ns"`
	// SkipEvent is the probability that a watch omits an event.
	SkipEvent float64 `json:"skip_event"`
	// RepeatEvent is the probability that the answer of a watch begins with
	// events from before the requested version.
	RepeatEvent float64 `json:"repeat_event"`
}

// Counts holds the number of calls since the start, counted as the platform
// counts them: rejected calls are included, and a blocked watch counts as one
// call.
type Counts struct {
	Get     uint64 `json:"get"`
	List    uint64 `json:"list"`
	Put     uint64 `json:"put"`
	Delete  uint64 `json:"delete"`
	Watch   uint64 `json:"watch"`
	Waiting int64  `json:"waiting_watches"`
	// Objects and Bytes are the number of objects and the total size of their
	// values at present.
	Objects int    `json:"objects"`
	Bytes   uint64 `json:"bytes"`
}

// Reads returns the number of read calls, including watches.
func (c Counts) Reads() uint64 { return c.Get + c.List + c.Watch }

// Writes returns the number of write calls.
func (c Counts) Writes() uint64 { return c.Put + c.Delete }
