package load

import "time"

const (
	// recoveredShare of the share before the trigger counts as normal.
	recoveredShare = 0.95
	// recoveryWindow is how long it must stay so.
	recoveryWindow = time.Second
	// settleTime is left out at the start, while nodes find each other.
	settleTime = 2 * time.Second
)

// Recovery is how a trigger was survived.
type Recovery struct {
	Trigger string `json:"trigger"`
	// FromS and ToS are the trigger's time, in seconds from the start.
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	// Before and During are shares of requests answered whole.
	Before float64 `json:"whole_share_before"`
	During float64 `json:"whole_share_during"`
	// OrdersDuring is the share of orders answered whole; -1 without orders.
	OrdersDuring float64 `json:"orders_whole_share_during"`
	// GoodputBefore and GoodputDuring are whole answers a second.
	GoodputBefore float64 `json:"goodput_before"`
	GoodputDuring float64 `json:"goodput_during"`
	// Seconds is the recovery time; -1 where it did not recover in the run.
	Seconds float64 `json:"recovery_seconds"`
}

// recovery measures one trigger that was in force in [from, to).
func recovery(name string, buckets []bucket, from, to, end time.Duration) Recovery {
	before, during := sum(buckets, settleTime, from), sum(buckets, from, to)
	r := Recovery{
		Trigger: name, FromS: from.Seconds(), ToS: to.Seconds(),
		Before: before.share(), During: during.share(),
		OrdersDuring:  orderShare(during),
		GoodputBefore: perSecond(before.whole(), from-settleTime),
		GoodputDuring: perSecond(during.whole(), to-from),
		Seconds:       -1,
	}
	for at := to; at+recoveryWindow <= end; at += bucketSize {
		w := sum(buckets, at, at+recoveryWindow)
		if w.totalOffered() > 0 && w.share() >= recoveredShare*r.Before {
			r.Seconds = (at - to).Seconds()
			break
		}
	}
	return r
}

func orderShare(b bucket) float64 {
	const order = len(b.offered) - 1
	if b.offered[order] == 0 {
		return -1
	}
	return float64(b.ends[order][OutcomeComplete]) / float64(b.offered[order])
}

func perSecond(n int, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(n) / d.Seconds()
}
