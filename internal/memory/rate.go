package memory

import "time"

// rateWindow is the time over which a rate is measured: between one and two windows.
const rateWindow = time.Second

// Rate measures how many bytes a second were released in the recent past. The zero value
// is ready to use. It is not safe for concurrent use.
type Rate struct {
	began             time.Time
	current, previous int64
}

// Add records that n bytes were released.
func (r *Rate) Add(now time.Time, n int64) {
	r.advance(now)
	r.current += n
}

// TimeFor returns how long the release of n bytes takes; 0 if that is not known or n is
// not above 0.
func (r *Rate) TimeFor(now time.Time, n int64) time.Duration {
	r.advance(now)
	measured := r.current + r.previous
	if n <= 0 || measured == 0 {
		return 0
	}
	took := rateWindow + now.Sub(r.began)
	return time.Duration(float64(n) / float64(measured) * float64(took))
}

// advance begins a new window once the present one is over.
func (r *Rate) advance(now time.Time) {
	switch age := now.Sub(r.began); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.began = r.began.Add(rateWindow)
		r.previous, r.current = r.current, 0
	default:
		*r = Rate{began: now}
	}
}
