package balancer

// The connections between one data centre and the others may fail while callers
// still reach all data centres. Requests between this data centre and the others
// are then lost, and each attempt to connect makes a caller wait for a timeout.
// So each instance watches for data centres that seem unreachable, and makes
// their servers costly.

import "time"

const (
	// suspectAfter is how long a data centre must be silent before it may be
	// suspected of being unreachable. A data centre is silent if no message
	// arrives from its instances and servers. Its instances normally send
	// several reports in this time.
	suspectAfter = 350 * time.Millisecond
	// noResponseTimeout is how long a data centre stays suspected after a
	// request to it ended without a response. A later message from the data
	// centre ends the suspicion at once.
	noResponseTimeout = 6 * time.Second
	// suspectedCost is the cost of a server in a suspected data centre. It is
	// above the cost of any cache miss. Otherwise the prefix cache of an
	// unreachable server could make it seem cheap.
	suspectedCost = 5.0
)

// dataCentreState holds what this instance knows of its contact with a data
// centre.
type dataCentreState struct {
	// lastContact is when a message or a response last arrived from the data
	// centre. lastNoResponse is when a request to the data centre last ended
	// without any response.
	lastContact    time.Time
	lastNoResponse time.Time
	// running counts this instance's requests at the data centre's servers.
	running int
	// reportedHealth is the data centre's health at the last call of
	// HealthChanges.
	reportedHealth Health
}

// stateOf returns the state of a data centre. If the data centre is unknown,
// stateOf creates its state.
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

// suspected reports whether a data centre other than this instance's own seems
// unreachable: nothing arrived from it for suspectAfter, although a request to
// it is running or recently ended without a response.
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

// probing reports whether a suspected data centre is being probed: an earlier
// request to it got no response, and another request to it is running.
func (b *Balancer) probing(name string, now time.Time) bool {
	state := b.stateOf(name)
	return b.suspected(name, now) && state.running > 0 && state.lastNoResponse.After(state.lastContact)
}
