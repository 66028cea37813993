package hedging

// Second attempts add work where there may be too little room already. So they are a share of
// the requests, counted in a sliding window: when fewer requests come, fewer second attempts
// are allowed, and when all servers are late, the work grows by no more than this share.

import "time"

const (
	// limitWindow is long, so that also instances with few requests reach one second attempt.
	limitWindow  = 60 * time.Second
	limitBuckets = 12
)

// Limits are the operators' limits: second attempts as a share of the requests that may be
// repeated, 0 to 1. The most specific one holds: that of the request's route, or else that of
// its service, or else the one for all. The zero value allows none.
type Limits struct {
	All      float64
	Services map[string]float64
	Routes   map[string]float64
}

// Any reports whether a limit allows second attempts.
func (l Limits) Any() bool {
	if l.All > 0 {
		return true
	}
	for _, shares := range []map[string]float64{l.Services, l.Routes} {
		for _, share := range shares {
			if share > 0 {
				return true
			}
		}
	}
	return false
}

// limitKey stands for the limit that holds for some requests: that of a route, that of a
// service, or that for all others if both names are empty.
type limitKey struct{ route, service string }

// of returns the limit that holds for a route's requests to a service.
func (l Limits) of(route, service string) (limitKey, float64) {
	if share, ok := l.Routes[route]; ok {
		return limitKey{route: route}, share
	}
	if share, ok := l.Services[service]; ok {
		return limitKey{service: service}, share
	}
	return limitKey{}, l.All
}

// shareWindow counts requests and second attempts in a sliding window.
type shareWindow struct {
	// bucket is the number of the current time bucket since the controller's start. The counts
	// of bucket n are at the index n modulo limitBuckets.
	bucket   int64
	requests [limitBuckets]int
	seconds  [limitBuckets]int
}

// at clears the buckets that have left the window and returns the index of the current one.
func (w *shareWindow) at(now time.Duration) int {
	bucket := int64(now / (limitWindow / limitBuckets))
	for i := range min(bucket-w.bucket, limitBuckets) {
		index := (bucket - i) % limitBuckets
		w.requests[index], w.seconds[index] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return int(w.bucket % limitBuckets)
}

// take counts one more second attempt if the share allows it.
func (w *shareWindow) take(share float64, now time.Duration) bool {
	index := w.at(now)
	requests, seconds := 0, 0
	for i := range limitBuckets {
		requests += w.requests[i]
		seconds += w.seconds[i]
	}
	if float64(seconds+1) > share*float64(requests) {
		return false
	}
	w.seconds[index]++
	return true
}

// giveBack takes back the last second attempt, if its bucket is still counted.
func (w *shareWindow) giveBack(now time.Duration) {
	index := w.at(now)
	for i := range limitBuckets {
		at := (index - i + limitBuckets) % limitBuckets
		if w.seconds[at] > 0 {
			w.seconds[at]--
			return
		}
	}
}
