package balancer

// A data centre may be cut off from the others while callers still reach all of
// them. Requests sent to it from the other data centres are lost, and each
// attempt to connect makes a caller wait for a timeout.

import "time"

const (
	// suspectAfter is the time without any message from a data centre's
	// instances and servers after which the data centre may be suspected of
	// being unreachable. Its instances normally send several reports in this
	// time.
	suspectAfter = 350 * time.Millisecond
	// noResponseTimeout is how long a request that got no response makes its
	// data centre suspected. A later message from the data centre ends the
	// suspicion at once.
	noResponseTimeout = 6 * time.Second
	// suspectedCost is the cost of a server in a suspected data centre. It is
	// above the cost of any cache miss, since the prefix cache of an
	// unreachable server is useless.
	suspectedCost = 5.0
)

// dataCentreState records contact with a data centre.
type dataCentreState struct {
	// lastContact is when a message or a response last arrived from the data
	// centre, lastNoResponse when a request to it last ended without any
	// response.
	lastContact    time.Time
	lastNoResponse time.Time
	// running counts this instance's requests at the data centre's servers.
	running int
	// reportedHealth is the health that HealthChanges last returned.
	reportedHealth Health
}

// stateOf returns the state of a data centre and creates it if it is unknown.
func (b *Balancer) stateOf(name string) *dataCentreState {
	state, ok := b.dataCentres[name]
	if !ok {
		state = &dataCentreState{}
		b.dataCentres[name] = state
	}
	return state
}

// RecordContact records that a message from a data centre arrived now.
func (b *Balancer) RecordContact(name string, now time.Time) { b.stateOf(name).lastContact = now }

// suspected reports whether another data centre seems unreachable: for
// suspectAfter nothing arrived from it, and a request to it is running or
// recently got no response.
func (b *Balancer) suspected(name string, now time.Time) bool {
	if name == b.opts.DataCentre {
		return false
	}
	state := b.stateOf(name)
	if state.lastContact.IsZero() || now.Sub(state.lastContact) < suspectAfter {
		return false
	}
	return state.running > 0 || state.lastNoResponse.After(state.lastContact) && now.Sub(state.lastNoResponse) < noResponseTimeout
}

// probing reports whether a running request probes a suspected data centre,
// after an earlier request to it got no response.
func (b *Balancer) probing(name string, now time.Time) bool {
	state := b.stateOf(name)
	return b.suspected(name, now) && state.running > 0 && state.lastNoResponse.After(state.lastContact)
}
