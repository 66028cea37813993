package usage

import "time"

const (
	// minSumsInterval is the least time between two messages with an instance's sums, and
	// maxSumsInterval the most while there are few peers.
	minSumsInterval = 200 * time.Millisecond
	maxSumsInterval = 500 * time.Millisecond
	// sumsIntervalPerPeer is what each peer adds to it: the fewer instances there are, the larger a
	// part of all requests is lost with what a killed one had not sent.
	sumsIntervalPerPeer = 30 * time.Millisecond
	// crowdIntervalPerPeer is the same beyond maxSumsInterval. All instances send to the same few.
	crowdIntervalPerPeer = 5 * time.Millisecond
)

// SumsInterval returns the time between two messages with an instance's sums, if it has the given
// number of peers. What a process counted since the last one is lost if it is killed.
func SumsInterval(peers int) time.Duration {
	few := min(max(minSumsInterval, time.Duration(peers)*sumsIntervalPerPeer), maxSumsInterval)
	return max(few, time.Duration(peers)*crowdIntervalPerPeer)
}
