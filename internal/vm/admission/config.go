package admission

// Policy selects how requests are admitted.
type Policy uint8

// The policies. All but PolicyAdaptive exist for comparison.
const (
	// PolicyAdaptive is the policy of this package.
	PolicyAdaptive Policy = iota
	// PolicyNone admits every request immediately.
	PolicyNone
	// PolicyFixedCoin keeps a fixed limit at the announced slots and one queue
	// in order of arrival, and drops the excess of the last window by an
	// independent random decision (a coin toss) per call. It ignores classes.
	PolicyFixedCoin
)

// Config is the configuration of a Controller. Start from DefaultConfig.
type Config struct {
	// Policy is PolicyAdaptive except for comparisons.
	Policy Policy
	// Slots is the ceiling of the limit, as announced by the upstream.
	Slots int
	// MinLimit is the lowest limit, at least 1.
	MinLimit int
	// MaxQueue bounds the number of waiting requests over all classes.
	MaxQueue int
	// ColdFraction is the fraction of the slots, in (0, 1], at which the limit
	// of an upstream that is warming up starts.
	ColdFraction float64
	// Seed seeds the random source of Refusal.RetryAfter and of
	// PolicyFixedCoin.
	Seed uint64
}

const (
	defaultMinLimit     = 2
	defaultMinQueue     = 32
	queuePerSlot        = 2
	defaultColdFraction = 0.25
)

// DefaultConfig returns the configuration for an upstream that announces the
// given number of slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:        slots,
		MinLimit:     defaultMinLimit,
		MaxQueue:     max(defaultMinQueue, queuePerSlot*slots),
		ColdFraction: defaultColdFraction,
	}
}

// normalised returns the configuration with values that are out of range
// replaced.
func (c Config) normalised() Config {
	c.Slots = max(c.Slots, 1)
	c.MinLimit = min(max(c.MinLimit, 1), c.Slots)
	c.MaxQueue = max(c.MaxQueue, 0)
	if c.ColdFraction <= 0 || c.ColdFraction > 1 {
		c.ColdFraction = defaultColdFraction
	}
	return c
}
