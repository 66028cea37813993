package balancer

// Between two reports, many instances may choose servers from the same data. If
// each instance examined all servers, all instances would send to the server
// that seems idle, and would overload it. So each instance examines only a
// random sample of the servers, drawn anew for each request. Then only few
// instances choose the same server at once.

import "slices"

const (
	// fullScanInstances is a number of instances. If there are more instances
	// than this, each instance examines only a sample of the servers.
	fullScanInstances = 8
	// fanIn is the average number of instances that examine the same server if
	// all instances choose at once. minSample is the smallest number of servers
	// that an instance examines.
	fanIn     = 2
	minSample = 2
)

// SetInstances sets the number of instances that choose servers, including this
// one.
func (b *Balancer) SetInstances(n int) { b.instances = n }

// sampledSet holds, for each server of a list, whether the server was sampled.
// A nil set contains all servers.
type sampledSet []bool

func (s sampledSet) contains(i int) bool { return len(s) == 0 || s[i] }

// sample draws a random sample from a list of n servers. It also draws a sample
// from the servers for which reserved returns true. The result contains both
// samples. They are factor times as large as sampleSize.
func (b *Balancer) sample(n int, factor int, reserved func(i int) bool) sampledSet {
	if b.instances <= fullScanInstances || factor*b.sampleSize(n) >= n {
		return nil
	}
	sampled := make(sampledSet, n)
	shuffled := b.random.Perm(n)
	for _, i := range shuffled[:factor*b.sampleSize(n)] {
		sampled[i] = true
	}
	reservedIndexes := slices.DeleteFunc(shuffled, func(i int) bool { return !reserved(i) })
	for _, i := range reservedIndexes[:min(factor*b.sampleSize(len(reservedIndexes)), len(reservedIndexes))] {
		sampled[i] = true
	}
	return sampled
}

// sampleSize returns the number of servers to examine if there are n.
func (b *Balancer) sampleSize(n int) int { return max((n*fanIn+b.instances-1)/b.instances, minSample) }
