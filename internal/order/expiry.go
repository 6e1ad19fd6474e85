package order

import "time"

// expiry finds expired records without scanning the others: it groups keys by
// the second in which their records expire. Adding and removing a key take
// constant time.
type expiry[K any] struct {
	bySecond map[int64][]K
	next     int64 // lowest second that may have keys
}

func newExpiry[K any]() expiry[K] { return expiry[K]{bySecond: map[int64][]K{}} }

// add schedules the key of a record that expires at the given time.
func (e *expiry[K]) add(k K, at time.Time) {
	second := at.Unix() + 1
	if len(e.bySecond) == 0 || second < e.next {
		e.next = second
	}
	e.bySecond[second] = append(e.bySecond[second], k)
}

// due calls forget for each key whose second has begun. forget removes the
// record and reports whether to schedule the key again, one second later.
func (e *expiry[K]) due(now time.Time, forget func(K) (again bool)) {
	last := now.Unix()
	var again []K
	for len(e.bySecond) > 0 && e.next <= last {
		for _, k := range e.bySecond[e.next] {
			if forget(k) {
				again = append(again, k)
			}
		}
		delete(e.bySecond, e.next)
		e.next++
	}
	for _, k := range again {
		e.add(k, now)
	}
}
