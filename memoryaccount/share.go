package memoryaccount

// This file answers callers that together ask for more memory than there is, of which one sends
// far more than the others: what it holds is limited by what is free, so that a part always stays
// free for the others. The decisions use no clock and no state of their own.

const (
	// organisationFactor and addressFactor are the multiples of the free memory up to which an
	// organisation and a caller's address may grow. With 2 a single organisation gets two
	// thirds of the capacity, with 8 a single address eight ninths. The factor of addresses is
	// larger because a load balancer forwards many callers from few addresses.
	organisationFactor = 2
	addressFactor      = 8
	// firstDivisor divides organisationFactor for the first bytes of a reservation. So what is
	// left to those that have begun is enough to end some of them.
	firstDivisor = 2
)

// ask is what a reservation asks for, and what is held at that moment. All sizes are in bytes.
type ask struct {
	bytes int64
	// first is set if the reservation holds nothing yet.
	first bool
	free  int64
	// byOrganisation and byAddress are what the reservation's parties hold.
	byOrganisation, byAddress int64
}

// fits reports whether an ask may be granted.
func (a ask) fits() bool {
	left := a.free - a.bytes
	if left < 0 {
		return false
	}
	byOrganisation := left * organisationFactor
	if a.first {
		byOrganisation /= firstDivisor
	}
	return a.byOrganisation+a.bytes <= byOrganisation && a.byAddress+a.bytes <= left*addressFactor
}

// responseDivisor is the part of the capacity up to which all responses together may grow, as a
// divisor. What is left stays free for requests.
const responseDivisor = 2

// responseFits reports whether a response may take more bytes. Its request was passed on already, so
// its parties' shares don't matter.
func responseFits(bytes, held, free, capacity int64) bool {
	return bytes <= free && held+bytes <= capacity/responseDivisor
}

// candidate is a reservation that waits for memory.
type candidate struct {
	// number rises with each reservation: the newest has the largest.
	number uint64
	// byOrganisation and byAddress are what its parties hold, in bytes.
	byOrganisation, byAddress int64
}

// refusedFirst returns the index of the candidate that is refused first: of the organisation that
// holds most, then of the address that holds most, the newest. There must be a candidate.
func refusedFirst(candidates []candidate) int {
	first := 0
	for n, c := range candidates {
		if c.before(candidates[first]) {
			first = n
		}
	}
	return first
}

func (c candidate) before(other candidate) bool {
	switch {
	case c.byOrganisation != other.byOrganisation:
		return c.byOrganisation > other.byOrganisation
	case c.byAddress != other.byAddress:
		return c.byAddress > other.byAddress
	}
	return c.number > other.number
}
