package balancer

// The load this answers: many instances choose within the time in which they
// hear of each other. All know the same, so all would find the same server
// idle, and meet there. Each looks only at some of the servers, drawn anew for
// each request, so that about as many choose a server as it takes.

import "slices"

const (
	// crowd is up to how many instances each looks at all servers.
	crowd = 8
	// fanIn is how many instances look at each server if all choose at once, and
	// leastSample the least number of servers that one looks at.
	fanIn     = 2
	minSample = 2
)

// SetInstances tells how many instances choose.
func (t *Balancer) SetInstances(n int) { t.instances = n }

// drawn says which of a list of servers were drawn. The zero value has all.
type drawn []bool

func (d drawn) has(i int) bool { return len(d) == 0 || d[i] }

// sample draws from n servers, and again from those that are the request's own.
func (t *Balancer) sample(n int, own func(i int) bool) drawn {
	if t.instances <= crowd || t.sampleSize(n) >= n {
		return nil
	}
	d := make(drawn, n)
	all := t.random.Perm(n)
	for _, i := range all[:t.sampleSize(n)] {
		d[i] = true
	}
	owned := slices.DeleteFunc(all, func(i int) bool { return !own(i) })
	for _, i := range owned[:min(t.sampleSize(len(owned)), len(owned))] {
		d[i] = true
	}
	return d
}

// sampleSize is how many of n servers to look at.
func (t *Balancer) sampleSize(n int) int { return max((n*fanIn+t.instances-1)/t.instances, minSample) }
