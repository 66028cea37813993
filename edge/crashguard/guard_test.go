package crashguard

import (
	"testing"
	"time"
)

// Parts of the tests' prompts.
const (
	firstPart uint64 = 1
	badPart   uint64 = 2
	otherPart uint64 = 3
)

// startTime is when the tests' virtual time begins.
var startTime = time.Unix(1_700_000_000, 0)

// at returns the virtual time after the given duration.
func at(d time.Duration) time.Time { return startTime.Add(d) }

// newGuard returns the guard of an instance that is alone, so that its turns come soon.
func newGuard(seed uint64) *Guard {
	return New(Options{Seed: seed, Instances: func() int { return 1 }})
}

func isWithheld(g *Guard, part uint64, now time.Time) bool {
	_, withheld := g.Withheld([]uint64{part}, now)
	return withheld
}

// TestPartIsWithheldAfterThreeServersEnded guards against a part that ends server after
// server, and against one that is withheld for too few of them.
func TestPartIsWithheldAfterThreeServersEnded(t *testing.T) {
	g := newGuard(0)
	for n := range uint64(3) {
		if isWithheld(g, badPart, at(0)) {
			t.Errorf("withheld after %d servers, want after 3", n)
		}
		g.RecordCrash(n, []uint64{badPart}, at(0))
	}
	got, ok := g.Withheld([]uint64{otherPart, badPart}, at(time.Second))
	least := withholdPeriods[0] - time.Second
	if !ok || got.Suspect != (Suspect{badPart, 3, 0}) || got.For < least || got.For > least+tryInterval {
		t.Errorf("got %+v, %v; want part %d withheld for %v and up to %v more", got, ok, badPart, least, tryInterval)
	}
}

// TestOneServerDoesNotWithholdAPart guards against many requests on one server that ends
// being taken for many ends.
func TestOneServerDoesNotWithholdAPart(t *testing.T) {
	g := newGuard(0)
	for range 20 {
		g.RecordCrash(1, []uint64{badPart}, at(0))
	}
	if isWithheld(g, badPart, at(0)) {
		t.Error("withheld after the end of one server, want not")
	}
}

// TestAnsweredFirstPartOutlivesCrashOfManyServers guards against a sound part that is
// withheld because a fifth of the servers end at once with requests for it.
func TestAnsweredFirstPartOutlivesCrashOfManyServers(t *testing.T) {
	g := newGuard(0)
	g.RecordAnswered([]uint64{firstPart}, at(0))
	for n := range uint64(120) {
		g.RecordCrash(n, []uint64{firstPart}, at(time.Second))
	}
	if isWithheld(g, firstPart, at(time.Second)) {
		t.Error("a part that was answered is withheld")
	}
}

// TestNextAnswerClearsNewPart guards against a new part, in flight on servers that end
// together, that stays withheld although it is answered elsewhere.
func TestNextAnswerClearsNewPart(t *testing.T) {
	g, other := newGuard(0), newGuard(0)
	for n := range uint64(3) {
		g.RecordCrash(n, []uint64{otherPart}, at(0))
	}
	other.Receive(g.Reports(at(0)), at(0))
	if !isWithheld(g, otherPart, at(0)) || !isWithheld(other, otherPart, at(0)) {
		t.Fatal("not withheld after three ends, so the test shows nothing")
	}
	other.RecordAnswered([]uint64{otherPart}, at(100*time.Millisecond))
	g.Receive(other.Reports(at(200*time.Millisecond)), at(200*time.Millisecond))
	if isWithheld(g, otherPart, at(time.Second)) || isWithheld(other, otherPart, at(time.Second)) {
		t.Error("withheld after an answer, want cleared at both instances")
	}
	other.Receive([]Report{{Key: otherPart, Servers: []uint64{7, 8, 9}}}, at(time.Second))
	if isWithheld(other, otherPart, at(time.Second)) {
		t.Error("a late report withholds a part that was answered")
	}
}

// TestPartsOfBystandersAreNotWithheld guards against parts that are withheld because their
// requests ran on some of the servers that another part ended.
func TestPartsOfBystandersAreNotWithheld(t *testing.T) {
	g := newGuard(0)
	for n := range uint64(5) {
		g.RecordCrash(n, []uint64{badPart}, at(0))
		if n != 2 {
			g.RecordCrash(n, []uint64{otherPart}, at(0))
		}
	}
	if !isWithheld(g, badPart, at(0)) || isWithheld(g, otherPart, at(0)) {
		t.Errorf("got withheld %v and %v, want only the part under which all servers ended", isWithheld(g, badPart, at(0)), isWithheld(g, otherPart, at(0)))
	}
	for n := range uint64(3) {
		g.RecordCrash(10+n, []uint64{otherPart}, at(0))
	}
	if !isWithheld(g, otherPart, at(0)) {
		t.Error("a part is not withheld although three servers ended under it alone")
	}
}

// TestWithholdingEndsAndGrows guards against a part that is shut out for ever, and against
// one that ends servers again and again.
func TestWithholdingEndsAndGrows(t *testing.T) {
	g := newGuard(0)
	now := at(0)
	server := uint64(0)
	crash := func() {
		server++
		g.RecordCrash(server, []uint64{badPart}, now)
	}
	crash()
	crash()
	for n, period := range append(withholdPeriods[:], withholdPeriods[len(withholdPeriods)-1]) {
		crash()
		const span = tryInterval
		if !isWithheld(g, badPart, now.Add(period-time.Millisecond)) || isWithheld(g, badPart, now.Add(period+span)) {
			t.Errorf("after %d failed tries: not withheld for %v and up to %v more", n, period, span)
		}
		now = now.Add(period + span)
	}
	now = now.Add(2 * withholdPeriods[len(withholdPeriods)-1])
	crash()
	if isWithheld(g, badPart, now) {
		t.Error("withheld for ends that were to be forgotten")
	}
}

// TestInstanceTriesOnceAtATime guards against a burst of requests that all pass as tries.
func TestInstanceTriesOnceAtATime(t *testing.T) {
	g := newGuard(0)
	for n := range uint64(3) {
		g.RecordCrash(n, []uint64{badPart}, at(0))
	}
	end := at(withholdPeriods[0] + tryInterval)
	first, second := isWithheld(g, badPart, end), isWithheld(g, badPart, end.Add(time.Millisecond))
	if first || !second || isWithheld(g, badPart, end.Add(tryInterval)) {
		t.Errorf("got withheld %v and %v, want the first request to pass, and the next one %v later", first, second, tryInterval)
	}
}

// TestOthersWaitForTheResultOfATry guards against instances that try a part while the
// server that got another instance's try has yet to end.
func TestOthersWaitForTheResultOfATry(t *testing.T) {
	g, other := newGuard(0), newGuard(1)
	for n := range uint64(3) {
		g.RecordCrash(n, []uint64{badPart}, at(0))
	}
	other.Receive(g.Reports(at(0)), at(0))
	end := at(withholdPeriods[0] + tryInterval)
	tried := !isWithheld(g, badPart, end)
	heard := end.Add(200 * time.Millisecond)
	other.Receive(g.Reports(heard), heard)
	if !tried || !isWithheld(other, badPart, heard) || isWithheld(other, badPart, end.Add(tryInterval)) {
		t.Errorf("got tried %v; want the other instance to wait %v for the result", tried, tryInterval)
	}
}

// TestPartThatTurnsBadIsFound guards against a part that counts as sound for ever.
func TestPartThatTurnsBadIsFound(t *testing.T) {
	g := newGuard(0)
	g.RecordAnswered([]uint64{badPart}, at(0))
	later := at(2 * answeredSpan)
	for n := range uint64(3) {
		g.RecordCrash(n, []uint64{badPart}, later)
	}
	if !isWithheld(g, badPart, later) {
		t.Error("not withheld although it was last answered long ago")
	}
}

// TestForgedPartsDoNotDisplaceTheBadOne guards against a table, or a memory of answered
// parts, that random parts fill.
func TestForgedPartsDoNotDisplaceTheBadOne(t *testing.T) {
	g := newGuard(0)
	g.RecordCrash(1, []uint64{badPart}, at(0))
	g.RecordCrash(2, []uint64{badPart}, at(0))
	for n := range uint64(10_000) {
		g.RecordCrash(100+n, []uint64{1000 + n}, at(time.Duration(n)*time.Millisecond))
		g.RecordAnswered([]uint64{100_000 + n}, at(time.Duration(n)*time.Millisecond))
	}
	if size := len(g.suspects); size > maxParts {
		t.Errorf("the table holds %d parts, want at most %d", size, maxParts)
	}
	if size := len(g.answeredParts.current) + len(g.answeredParts.previous); size > 2*maxAnswered {
		t.Errorf("%d answered parts are remembered, want at most %d", size, 2*maxAnswered)
	}
	g.RecordCrash(3, []uint64{badPart}, at(11*time.Second))
	if !isWithheld(g, badPart, at(11*time.Second)) {
		t.Error("the part with the most servers was forgotten")
	}
}
