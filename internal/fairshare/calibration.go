package fairshare

const (
	// memory is the number of recent requests that the calibration follows. With it
	// the standard error of a quantile is about 0.02.
	memory = 256
	// numBins is the number of intervals of the quantiles that are counted apart.
	numBins = 64
	// maxWeight is the weight of one request at which all are scaled back.
	maxWeight = 1 << 20
)

// calibration makes quantiles uniform that were computed from uncertain demands. A
// workspace with few requests a second sends most of them when its measured demand is
// low before and high after, so the quantiles of its positions are too high: where each
// workspace sends a request every three seconds, a fifth of all ranks fell into the
// lowest tenth. The projection of the shedder needs uniform ranks.
//
// A quantile is replaced by its share among the recent ones, which keeps their order.
type calibration struct {
	bins   [numBins]float64
	sum    float64
	weight float64 // of the next request
}

// uniform returns the share of the recent quantiles that are below q, and counts q.
func (c *calibration) uniform(q float64) float64 {
	if c.weight == 0 {
		c.reset()
	}
	at := min(max(q, 0), 1) * numBins
	bin := min(int(at), numBins-1)
	below := c.bins[bin] * (at - float64(bin))
	for _, weight := range c.bins[:bin] {
		below += weight
	}
	share := below / c.sum
	c.bins[bin] += c.weight
	c.sum += c.weight
	if c.weight *= 1 + 1.0/memory; c.weight > maxWeight {
		c.rescale()
	}
	return share
}

// reset assumes that the quantiles so far were uniform.
func (c *calibration) reset() {
	for i := range c.bins {
		c.bins[i] = float64(memory) / numBins
	}
	c.sum, c.weight = memory, 1
}

func (c *calibration) rescale() {
	c.sum = 0
	for i := range c.bins {
		c.bins[i] /= c.weight
		c.sum += c.bins[i]
	}
	c.weight = 1
}
