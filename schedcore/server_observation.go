package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// lateTargetShare is a share of a class's target. If the server alone takes
// longer than this share, its response counts as late. If a request reports
// a first token, its class's target for the first token is used. Otherwise the
// target for the whole answer is used.
const lateTargetShare = 0.5

// maxProgressTokens bounds the weight of one progress report in the
// estimates.
const maxProgressTokens = 32

// maxSlowness bounds one sample of a server's slowness.
const maxSlowness = 10

// minLateTime is the shortest response time that can count as late.
const minLateTime = 100 * time.Millisecond

func (c *Core) observeFirstToken(r *request, took time.Duration) {
	s := &c.servers[r.server]
	c.recordSuccess(s)
	promptTokens := float64(r.uncachedTokens + r.pendingTokensBefore)
	expectedSeconds := c.estimates.firstToken.predict(promptTokens)
	if r.limitProbe {
		c.finishLimitProbe(s, took, expectedSeconds*s.slowness.valueOr(1))
		return
	}
	if expectedSeconds > 0 {
		s.slowness.add(min(seconds(took)/expectedSeconds, maxSlowness), 1)
	}
	c.estimates.firstToken.add(promptTokens, seconds(took))
	s.window.responses++
	if isLate(took, c.classes[r.class].FirstToken) {
		s.window.lateResponses++
	}
}

// isLate reports whether a response took longer than lateTargetShare of its
// target. A response faster than minLateTime is never late.
func isLate(took, target time.Duration) bool {
	return target > 0 && took > max(time.Duration(float64(target)*lateTargetShare), minLateTime)
}

func (c *Core) observeGap(r *request, e *Progress) {
	s := &c.servers[r.server]
	if e.Gap <= 0 {
		return
	}
	gap, n := seconds(min(e.Gap, maxMeasuredTime)), float64(min(e.Tokens, maxProgressTokens))
	s.tokenGap.add(gap, n)
	c.estimates.tokenGap.add(gap, n)
	s.window.gapSeconds += gap * n
	s.window.gapCount += n
	target := seconds(c.classes[r.class].BetweenTokens)
	if target > 0 && (s.window.gapTarget == 0 || target < s.window.gapTarget) {
		s.window.gapTarget = target
	}
}

func (c *Core) observeCompletion(r *request, e *Completion) {
	cl := &c.classes[r.class]
	c.recordSuccess(&c.servers[r.server])
	tokens := clampTokens(e.Tokens)
	if tokens > 0 {
		cl.answerLengths.add(tokens)
	}
	c.observeSlotTime(r)
	usedTokens := max(clampTokens(e.PromptTokens)-clampTokens(e.CachedTokens), 0) + tokens
	c.correctCharge(r, usedTokens)
	if r.ticket.Prefix != 0 && e.CachedTokens == 0 && e.PromptTokens > 0 {
		return
	}
	c.recordPrefix(r, r.server)
}

// observeSlotTime records how long a request held its slot. It ignores
// claims, because they began before the core knew of them.
func (c *Core) observeSlotTime(r *request) {
	if r.claimed {
		return
	}
	if !r.firstTokenSeen {
		c.observeWholeAnswer(r)
	}
	slotSeconds := seconds(c.now - r.grantedAt)
	c.classes[r.class].slotSeconds.add(slotSeconds, 1)
	c.estimates.slotSeconds.add(slotSeconds, 1)
}

// observeWholeAnswer counts the response of a request that reported no first
// token, such as a request to a service that does not stream tokens. It
// compares the time to the whole answer with the target.
func (c *Core) observeWholeAnswer(r *request) {
	s := &c.servers[r.server]
	s.window.responses++
	if isLate(c.now-r.grantedAt, c.classes[r.class].WholeAnswer) {
		s.window.lateResponses++
	}
}

func (c *Core) observeFailure(r *request, f *Failure) {
	s := &c.servers[r.server]
	c.correctCharge(r, r.uncachedTokens)
	if f.Reason == outcome.ServerRefused {
		s.window.refusals++
		return
	}
	s.consecutiveFailures++
	if s.ejected {
		s.startProbeBackoff(c.now)
	}
}

// recordSuccess resets a server's failure count, and readmits an ejected
// server whose probe succeeded.
func (c *Core) recordSuccess(s *server) {
	s.consecutiveFailures = 0
	if s.ejected && s.probeInFlight {
		c.readmit(s)
	}
}

// Dimensions of inFlightHistory.
const (
	historyLength = 32
	historyStep   = 100 * time.Millisecond
)

// inFlightHistory remembers how many requests a server had in flight, so that a
// load report can be compared with the core's count at the time of the report.
type inFlightHistory struct {
	counts     [historyLength]int32
	recordedAt time.Duration // when the newest count was recorded
	head       int           // index of the newest count
}

func (h *inFlightHistory) add(now time.Duration, count int) {
	if now-h.recordedAt < historyStep {
		return
	}
	h.recordedAt = now
	h.head = (h.head + 1) % historyLength
	h.counts[h.head] = int32(count)
}

// maxSince returns the highest number of requests in flight since a load report
// was made. The parameters are the report's age and the present number of requests
// in flight. The search goes back one further step, because the report may have been
// made between two steps.
func (h *inFlightHistory) maxSince(age time.Duration, current int) int {
	steps := int(age / historyStep)
	highest := current
	for k := 0; k <= min(steps+1, historyLength-1); k++ {
		highest = max(highest, int(h.counts[(h.head-k+historyLength)%historyLength]))
	}
	return highest
}

// recordInFlight extends the histories of the servers. If a server's last load
// report is old, it also resets the server's number of external requests.
func (c *Core) recordInFlight() {
	for i := range c.servers {
		s := &c.servers[i]
		s.history.add(c.now, s.inFlight)
		if s.externalRequests > 0 && c.now-s.reportedAt > loadReportLifetime {
			s.externalRequests = 0
		}
	}
}

const (
	// loadReportLifetime is how long a load report is used.
	loadReportLifetime = 3 * time.Second
	// externalSmoothing is the weight of a new sample of the external
	// requests.
	externalSmoothing = 0.5
)

// updateExternalRequests compares a load report with the core's own count at
// the time of the report. Requests beyond the core's count come from other
// senders.
func (c *Core) updateExternalRequests(s *server, report *LoadReport) {
	if report.Age > loadReportLifetime {
		return
	}
	counted := s.history.maxSince(report.Age, s.inFlight)
	external := max(report.Running+report.Waiting-counted, 0)
	s.externalRequests += (float64(min(external, s.Slots)) - s.externalRequests) * externalSmoothing
	s.reportedAt = c.now
}
