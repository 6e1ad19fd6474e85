package routing

import "time"

// Defaults of Config.
const (
	defaultSubsetSize    = 4
	defaultSlowStart     = 10 * time.Second
	defaultEjectFailures = 5
	defaultEjectBase     = 3 * time.Second
	defaultEjectMax      = 30 * time.Second
	defaultMaxOut        = 0.5
	defaultHintAge       = 2 * time.Second

	defaultRegionDistance = time.Millisecond
	defaultFarDistance    = 30 * time.Millisecond
)

// Config says where a node stands and how it chooses. It is not changed after
// New. Zero fields stand for the defaults of DefaultConfig.
type Config struct {
	// VM, Datacentre and Region are the node's own.
	VM, Datacentre, Region string
	// Distance is the time that the way to a data centre adds to a call, both
	// directions together. It must be quick and always give the same result.
	Distance func(region, datacentre string) time.Duration
	// SubsetSize is the number of usable targets of each service that a node
	// wants links to.
	SubsetSize int
	// SlowStart is how long the weight of a cold target ramps up.
	SlowStart time.Duration
	// EjectFailures is the number of failures in a row that put a target out.
	EjectFailures int
	// EjectBase is how long a target is out the first time; it doubles each
	// time up to EjectMax.
	EjectBase, EjectMax time.Duration
	// MaxEjectedShare is the largest share of a service's targets that may be out as
	// outliers, in (0, 1).
	MaxEjectedShare float64
	// MaxLoadAge is the age at which an announced load has faded out.
	MaxLoadAge time.Duration
}

// DefaultConfig returns the Config of a node at the given place, with
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
		c.MaxEjectedShare = defaultMaxOut
	}
	if c.MaxLoadAge <= 0 {
		c.MaxLoadAge = defaultHintAge
	}
	return c
}

// distanceFrom returns the default distances from one data centre.
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

// tierOf orders places by nearness: own data centre, own region, elsewhere.
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

// numTiers is the number of results of tierOf.
const numTiers = 3
