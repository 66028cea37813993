package balancer

// Between two reports, many instances may choose servers from the same data. If
// each examined all servers, all of them would send to the one that seems idle
// and overload it. So each instance examines only a random sample of the
// servers, drawn anew for each request, and only few instances choose the same
// server at once.

import "slices"

const (
	// fullScanInstances is the largest number of instances with which each
	// instance still examines all servers.
	fullScanInstances = 8
	// fanIn is the average number of instances that examine each server if all
	// choose at once. minSample is the smallest number of servers that an
	// instance examines.
	fanIn     = 2
	minSample = 2
)

// SetInstances sets the number of instances that choose servers, including this
// one.
func (b *Balancer) SetInstances(n int) { b.instances = n }

// sampledSet says for each server of a list whether it was sampled. A nil set
// contains all servers.
type sampledSet []bool

func (s sampledSet) contains(i int) bool { return len(s) == 0 || s[i] }

// sample draws a random sample of n servers. It draws a second sample of those
// servers that are reserved for the request's priority, and returns both
// together.
func (b *Balancer) sample(n int, reserved func(i int) bool) sampledSet {
	if b.instances <= fullScanInstances || b.sampleSize(n) >= n {
		return nil
	}
	sampled := make(sampledSet, n)
	shuffled := b.random.Perm(n)
	for _, i := range shuffled[:b.sampleSize(n)] {
		sampled[i] = true
	}
	reservedIndexes := slices.DeleteFunc(shuffled, func(i int) bool { return !reserved(i) })
	for _, i := range reservedIndexes[:min(b.sampleSize(len(reservedIndexes)), len(reservedIndexes))] {
		sampled[i] = true
	}
	return sampled
}

// sampleSize returns how many of n servers to examine.
func (b *Balancer) sampleSize(n int) int { return max((n*fanIn+b.instances-1)/b.instances, minSample) }
