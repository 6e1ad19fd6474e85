package routing

import "time"

// Defaults of Config.
const (
	defaultSubsetSize      = 4
	defaultSlowStart       = 10 * time.Second
	defaultEjectFailures   = 5
	defaultEjectBase       = 3 * time.Second
	defaultEjectMax        = 30 * time.Second
	defaultMaxEjectedShare = 0.5
	defaultMaxLoadAge      = 2 * time.Second

	defaultRegionDistance = time.Millisecond
	defaultFarDistance    = 30 * time.Millisecond
)

// Config is the location of a node and the parameters of its choices. It is not
// changed after New. Fields that are zero or out of range take the defaults of
// DefaultConfig.
type Config struct {
	// VM, Datacentre and Region are those of the node itself.
	VM, Datacentre, Region string
	// Distance returns the time that the network adds to a call to a data
	// centre, for both directions together. It must be fast and deterministic.
	Distance func(region, datacentre string) time.Duration
	// SubsetSize is the number of usable targets of each service that a node
	// keeps links to.
	SubsetSize int
	// SlowStart is the time in which the weight of a new or returning target
	// ramps up to its full value.
	SlowStart time.Duration
	// EjectFailures is the number of consecutive failures that ejects a target
	// while the other targets rarely fail.
	EjectFailures int
	// EjectBase is the duration of the first ejection of a target. It doubles
	// with each further ejection, up to EjectMax. Up to half of the duration is
	// added so that nodes return to a target at different times.
	EjectBase, EjectMax time.Duration
	// MaxEjectedShare is the largest share of the usable targets of a service
	// that may be ejected as outliers, in (0, 1).
	MaxEjectedShare float64
	// MaxLoadAge is the age at which an announced load has no effect any more.
	MaxLoadAge time.Duration
}

// DefaultConfig returns the Config of a node at the given location, with
// distances of 1 ms within a region and 30 ms between regions.
func DefaultConfig(vm, datacentre, region string) Config {
	return Config{VM: vm, Datacentre: datacentre, Region: region}.withDefaults()
}

// withDefaults fills in the fields that are zero or out of range.
func (c Config) withDefaults() Config {
	if c.Distance == nil {
		c.Distance = distanceFrom(c.Region, c.Datacentre)
	}
	if c.SubsetSize < 1 {
		c.SubsetSize = defaultSubsetSize
	}
	if c.SlowStart <= 0 {
		c.SlowStart = defaultSlowStart
	}
	if c.EjectFailures < 1 {
		c.EjectFailures = defaultEjectFailures
	}
	if c.EjectBase <= 0 {
		c.EjectBase = defaultEjectBase
	}
	if c.EjectMax < c.EjectBase {
		c.EjectMax = max(defaultEjectMax, c.EjectBase)
	}
	if c.MaxEjectedShare <= 0 || c.MaxEjectedShare >= 1 {
		c.MaxEjectedShare = defaultMaxEjectedShare
	}
	if c.MaxLoadAge <= 0 {
		c.MaxLoadAge = defaultMaxLoadAge
	}
	return c
}

// distanceFrom returns the default distance function of a data centre.
func distanceFrom(region, datacentre string) func(string, string) time.Duration {
	return func(toRegion, toDatacentre string) time.Duration {
		switch {
		case toRegion != region:
			return defaultFarDistance
		case toDatacentre != datacentre:
			return defaultRegionDistance
		default:
			return 0
		}
	}
}

// tierOf returns the tier of a location as seen from another: 0 is the same
// data centre, 1 the same region, 2 elsewhere.
func tierOf(region, datacentre, toRegion, toDatacentre string) int {
	switch {
	case toRegion != region:
		return 2
	case toDatacentre != datacentre:
		return 1
	default:
		return 0
	}
}

// numTiers is the number of tiers that tierOf distinguishes.
const numTiers = 3
