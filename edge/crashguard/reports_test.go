package crashguard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// TestInstancesAgreeInWhateverOrderReportsArrive guards against evidence that depends on
// the order, the loss or the repetition of datagrams. The reference is the union of what
// the instances saw.
func TestInstancesAgreeInWhateverOrderReportsArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]*Guard, rapid.IntRange(2, 5).Draw(t, "instances"))
		for n := range instances {
			instances[n] = newGuard(0)
		}
		seen := map[uint64]map[uint64]bool{}
		now := at(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			from := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "from")]
			to := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "to")]
			if rapid.Bool().Draw(t, "crash") {
				part, server := rapid.Uint64Range(1, 4).Draw(t, "part"), rapid.Uint64Range(1, 12).Draw(t, "server")
				from.RecordCrash(server, []uint64{part}, now)
				if seen[part] == nil {
					seen[part] = map[uint64]bool{}
				}
				seen[part][server] = true
				continue
			}
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				to.Receive(from.Reports(now), now)
			}
		}
		for range 2 {
			for _, from := range instances {
				for _, to := range instances {
					to.Receive(from.Reports(now), now)
				}
			}
		}
		for n, g := range instances {
			for part, servers := range seen {
				var want []uint64
				for server := range servers {
					want = append(want, server)
				}
				slices.Sort(want)
				want = want[:min(len(want), maxServers)]
				// Forty steps take 8 s at most, so no part is tried.
				if s := g.suspects[part]; s == nil || !slices.Equal(s.servers, want) {
					t.Fatalf("instance %d, part %d: got %+v, want servers %v", n, part, s, want)
				}
			}
		}
	})
}

// TestTellingEachOtherDoesNotKeepEvidenceAlive guards against instances that keep a part
// withheld by repeating each other's reports.
func TestTellingEachOtherDoesNotKeepEvidenceAlive(t *testing.T) {
	instances := []*Guard{newGuard(0), newGuard(1), newGuard(2)}
	for n := range uint64(3) {
		instances[n].RecordCrash(n, []uint64{badPart}, at(0))
	}
	const round = 100 * time.Millisecond
	now := at(0)
	// Each datagram takes a round, so that ages are underestimated.
	step := func() {
		var sent [][]Report
		for _, g := range instances {
			sent = append(sent, g.Reports(now))
		}
		now = now.Add(round)
		for _, reports := range sent {
			for _, g := range instances {
				g.Receive(reports, now)
			}
		}
	}
	limit := withholdPeriods[0] + convictedMemory + time.Second
	for now.Before(at(limit)) {
		step()
		if now.Equal(at(withholdPeriods[0] + tryInterval + time.Second)) {
			for n, g := range instances {
				if isWithheld(g, badPart, now) {
					t.Errorf("instance %d withholds the part 1 s after its period and turn", n)
				}
			}
		}
	}
	for n, g := range instances {
		if s := g.suspects[badPart]; s != nil && !s.expired(now) {
			t.Errorf("instance %d still holds %+v after %v", n, s, limit)
		}
	}
}

// TestRestartedInstanceLearnsWithheldParts guards against an instance that sends a part
// because it did not run when the servers ended.
func TestRestartedInstanceLearnsWithheldParts(t *testing.T) {
	g := newGuard(0)
	for n := range uint64(4) {
		g.RecordCrash(n, []uint64{badPart}, at(0))
	}
	tried := at(withholdPeriods[0] + tryInterval)
	if isWithheld(g, badPart, tried) {
		t.Fatal("the part is withheld after its period, want a try")
	}
	g.RecordCrash(9, []uint64{badPart}, tried.Add(time.Millisecond))
	const wait = 80 * time.Second
	now := tried.Add(wait)
	teller, restarted := newGuard(1), newGuard(2)
	teller.Receive(g.Reports(tried), tried)
	restarted.Receive(teller.Reports(now), now)
	got, ok := restarted.Withheld([]uint64{badPart}, now)
	span := withholdPeriods[1] / 2
	if want := withholdPeriods[1] - wait; !ok || got.FailedTries != 1 || got.For < want || got.For > want+span {
		t.Errorf("got %+v, %v; want withheld for %v and up to %v more after one failed try", got, ok, want, span)
	}
}

// TestOldReportsAreIgnored guards against evidence that comes back after it was forgotten.
func TestOldReportsAreIgnored(t *testing.T) {
	g := newGuard(0)
	g.Receive([]Report{
		{Key: badPart, Servers: []uint64{1, 2, 3}, AgeMs: (withholdPeriods[0] + convictedMemory).Milliseconds()},
		{Key: otherPart, Servers: []uint64{1, 2, 3}, AgeMs: 1 << 62},
	}, at(0))
	if len(g.suspects) > 0 {
		t.Errorf("got %d suspects, want none", len(g.suspects))
	}
}

// TestReportsFitIntoDatagram guards against reports that displace the servers' reports or
// make datagrams too large.
func TestReportsFitIntoDatagram(t *testing.T) {
	g := newGuard(0)
	for part := range uint64(maxParts) {
		for server := range part%12 + 1 {
			g.RecordCrash(1<<32-1-server, []uint64{1<<32 - 1 - part}, at(0))
		}
		g.tellAnswered(1<<31+part, at(0))
	}
	for range 50 {
		reports := g.Reports(at(9 * time.Second))
		raw, err := cbor.Marshal(reports)
		if err != nil || len(raw) > maxReportBytes+1 || len(reports) == 0 {
			t.Fatalf("got %d reports in %d bytes, error %v; want at most %d bytes", len(reports), len(raw), err, maxReportBytes+1)
		}
	}
}

// TestEachSuspectIsReportedSoon guards against parts that are never reported because others
// have more servers.
func TestEachSuspectIsReportedSoon(t *testing.T) {
	g := newGuard(0)
	for part := range uint64(40) {
		servers := 2
		if part == 39 {
			servers = 1
		}
		for server := range servers {
			g.RecordCrash(uint64(server), []uint64{part}, at(0))
		}
	}
	told := map[uint64]bool{}
	for range 60 {
		for _, r := range g.Reports(at(time.Second)) {
			told[r.Key] = true
		}
	}
	if len(told) != 40 {
		t.Errorf("%d of 40 parts were reported in 60 datagrams", len(told))
	}
}

// BenchmarkGuard measures what each send and each datagram pays during an incident.
func BenchmarkGuard(b *testing.B) {
	g, other := newGuard(0), newGuard(0)
	for part := range uint64(maxParts) {
		for server := range part%6 + 1 {
			g.RecordCrash(server, []uint64{part}, at(0))
		}
	}
	prompt := []uint64{maxParts - 1, maxParts - 2, 7000}
	reports := g.Reports(at(0))
	for name, call := range map[string]func(){
		"withheld": func() { g.Withheld(prompt, at(0)) },
		"answered": func() { other.RecordAnswered([]uint64{7000, 7001, 7002}, at(0)) },
		"reports":  func() { g.Reports(at(0)) },
		"receive":  func() { other.Receive(reports, at(0)) },
	} {
		b.Run(fmt.Sprint(name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
		})
	}
}
