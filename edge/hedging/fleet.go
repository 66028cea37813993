package hedging

// If all servers of a service are slow, a second attempt is slow too and makes them slower.
// So nothing is hedged while most servers are late at once, or while answers take much longer
// than they did a while ago. Sends that passed their delay without an answer count as late at
// once, because servers that answer nothing record no delay.

import (
	"math/bits"
	"time"
)

const (
	// lateMemory is how long the last send to a server counts.
	lateMemory = 8 * time.Second
	// lateSends is how many of the last sends to a server count. It is late if half of them
	// are: when nothing is wrong, at most a tenth are.
	lateSends = 4
	// lateFleetShare is the share of the servers from which the whole fleet counts as late.
	lateFleetShare = 0.5
	// minLateServers is the least number of late servers that can be the whole fleet. A
	// single one is a slow server.
	minLateServers = 2
	// answerWindow is how long answers are collected for the comparison with the long run.
	// The last window and the current one are used.
	answerWindow = 4 * time.Second
	// risenFactor is how much the recent mean ratio of observed to expected delays exceeds
	// that of the long run when the whole fleet is slow.
	risenFactor = 2
	// minRecent is the least number of recent answers that are compared with the long run.
	minRecent = 10
	// usualWeight is the weight of a new window in the ratio of the long run.
	usualWeight = 0.1
)

// serverSends holds whether the last sends to one server were late, the newest in the lowest
// bit.
type serverSends struct {
	late  uint8
	known int
	at    time.Duration
}

func (s *serverSends) isLate() bool {
	return 2*bits.OnesCount8(s.late&(1<<lateSends-1)) >= s.known
}

// answerWindowSums sums the answers of one window.
type answerWindowSums struct {
	answers int
	// ratios sums the ratios of observed to expected delays, without the servers' slowness.
	ratios float64
}

// fleet describes the servers of one service.
type fleet struct {
	servers map[uint64]*serverSends

	window            int64
	current, previous answerWindowSums
	// usual is a mean ratio over the long run.
	usual float64
}

func newFleet() *fleet { return &fleet{servers: make(map[uint64]*serverSends)} }

// recordSend records whether a send to a server was late.
func (f *fleet) recordSend(server uint64, late bool, now time.Duration) {
	s, ok := f.servers[server]
	if !ok || now-s.at > lateMemory {
		s = &serverSends{}
		f.servers[server] = s
	}
	s.late <<= 1
	if late {
		s.late |= 1
	}
	s.known = min(s.known+1, lateSends)
	s.at = now
}

// recordAnswer records how long a server took.
func (f *fleet) recordAnswer(s *Send, observed, now time.Duration) {
	f.at(now)
	f.current.answers++
	f.current.ratios += observed.Seconds() / max(s.Expected, minExpected).Seconds()
}

func (f *fleet) at(now time.Duration) {
	window := int64(now / answerWindow)
	if window <= f.window {
		return
	}
	f.learnUsual()
	f.dropOld(now)
	f.previous = answerWindowSums{}
	if window == f.window+1 {
		f.previous = f.current
	}
	f.current = answerWindowSums{}
	f.window = window
}

// dropOld drops the servers whose last send counts no more.
func (f *fleet) dropOld(now time.Duration) {
	for server, s := range f.servers {
		if now-s.at > lateMemory {
			delete(f.servers, server)
		}
	}
}

// learnUsual takes the window that ends into the long run.
func (f *fleet) learnUsual() {
	if f.current.answers < minRecent {
		return
	}
	recent := f.current.ratios / float64(f.current.answers)
	if f.usual == 0 {
		f.usual = recent
		return
	}
	f.usual += usualWeight * (recent - f.usual)
}

// slow reports whether the servers as a whole are slow.
func (f *fleet) slow(now time.Duration) bool {
	f.at(now)
	return f.mostAreLate(now) || f.hasRisen()
}

func (f *fleet) mostAreLate(now time.Duration) bool {
	f.dropOld(now)
	late := 0
	for _, s := range f.servers {
		if s.isLate() {
			late++
		}
	}
	return late >= minLateServers && float64(late) > lateFleetShare*float64(len(f.servers))
}

func (f *fleet) hasRisen() bool {
	answers := f.current.answers + f.previous.answers
	if f.usual == 0 || answers < minRecent {
		return false
	}
	return (f.current.ratios+f.previous.ratios)/float64(answers) > risenFactor*f.usual
}
