package load

import (
	"sort"
	"time"

	"heathershed/internal/platform/fake"
)

// result builds the result of the run.
func (r *runner) result(before, after map[string]sample, countsBefore, countsAfter *fake.Counts) *Result {
	end := r.opts.Duration
	buckets := r.meter.snapshot()
	promises := r.callers.ledger.Compare(r.log)
	added := r.probe.Overhead()
	res := &Result{
		Profile: r.opts.Layout.Profile.Name, Policy: r.opts.Policy, Seed: r.opts.Seed,
		Goodput:       r.goodput(buckets),
		OrdersDoubled: promises.OrdersDoubled, OrdersLost: promises.OrdersLost,
		PartialAnswers: promises.PartialAnswers, FalseNotRun: promises.FalseNotRun,
		AddedP99MS: added.AddedP99MS,
		Promises:   promises, Overhead: added,
		Classes: r.meter.classes(end), Series: series(buckets, end),
		Reasons: r.meter.reasons, Dropped: r.callers.dropped.Load(),
		Nodes:    usages(before, after),
		Platform: platformUsage(countsBefore, countsAfter, end),
		Problems: r.problems,
	}
	if offered := sumBuckets(buckets, 0, end).totalOffered(); offered > 0 {
		res.RunsPerRequest = float64(r.log.Total()) / float64(offered)
	}
	for _, t := range r.opts.Triggers {
		rec := measureRecovery(t.String(), buckets, t.At, t.At+t.For, end)
		res.Triggers = append(res.Triggers, rec)
		if rec.Seconds < 0 || res.RecoverySeconds < 0 {
			res.RecoverySeconds = -1
			continue
		}
		res.RecoverySeconds = max(res.RecoverySeconds, rec.Seconds)
	}
	if !r.opts.Direct {
		res.Timeline = readTimelines(r.opts.Layout)
	}
	return res
}

// goodput returns the complete answers a second while the run was steady.
func (r *runner) goodput(buckets []bucket) float64 {
	n, steady := 0, time.Duration(0)
	for at := time.Duration(0); at+bucketSize <= r.opts.Duration; at += bucketSize {
		if r.steady(r.start.Add(at)) {
			b := sumBuckets(buckets, at, at+bucketSize)
			n += b.complete()
			steady += bucketSize
		}
	}
	return perSecond(n, steady)
}

func usages(before, after map[string]sample) []Usage {
	var out []Usage
	for vm, b := range after {
		if a, ok := before[vm]; ok {
			out = append(out, usage(vm, a, b))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

func platformUsage(a, b *fake.Counts, d time.Duration) *PlatformUsage {
	if a == nil || b == nil {
		return nil
	}
	return &PlatformUsage{
		Reads:   perSecond(int(b.Reads()-a.Reads()), d),
		Writes:  perSecond(int(b.Writes()-a.Writes()), d),
		Waiting: b.Waiting,
	}
}
