package load

import "time"

const (
	// recoveredShare is the fraction of the share before the trigger that
	// counts as normal again.
	recoveredShare = 0.95
	// recoveryWindow is the length of the window whose share must be that high.
	recoveryWindow = time.Second
	// settleTime is excluded at the start of a run and after a trigger, while
	// nodes find each other or recover.
	settleTime = 2 * time.Second
)

// Recovery is the effect of one trigger.
type Recovery struct {
	Trigger string `json:"trigger"`
	// FromS and ToS delimit the trigger, in seconds from the start.
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	// Before and During are the shares of requests with a complete answer.
	Before float64 `json:"whole_share_before"`
	During float64 `json:"whole_share_during"`
	// OrdersDuring is the share of orders with a complete answer; -1 without
	// orders.
	OrdersDuring float64 `json:"orders_whole_share_during"`
	// GoodputBefore and GoodputDuring are complete answers a second.
	GoodputBefore float64 `json:"goodput_before"`
	GoodputDuring float64 `json:"goodput_during"`
	// Seconds is the recovery time; -1 if the system did not recover in the
	// run.
	Seconds float64 `json:"recovery_seconds"`
}

// measureRecovery measures the effect of a trigger that was active in [from,
// to).
func measureRecovery(name string, buckets []bucket, from, to, end time.Duration) Recovery {
	before, during := sumBuckets(buckets, settleTime, from), sumBuckets(buckets, from, to)
	r := Recovery{
		Trigger: name, FromS: from.Seconds(), ToS: to.Seconds(),
		Before: before.completeShare(), During: during.completeShare(),
		OrdersDuring:  orderShare(during),
		GoodputBefore: perSecond(before.complete(), from-settleTime),
		GoodputDuring: perSecond(during.complete(), to-from),
		Seconds:       -1,
	}
	for at := to; at+recoveryWindow <= end; at += bucketSize {
		w := sumBuckets(buckets, at, at+recoveryWindow)
		if w.totalOffered() > 0 && w.completeShare() >= recoveredShare*r.Before {
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
	return float64(b.outcomes[order][OutcomeComplete]) / float64(b.offered[order])
}

func perSecond(n int, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(n) / d.Seconds()
}
