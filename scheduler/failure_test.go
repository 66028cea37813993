package scheduler

import (
	"context"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/schedcore"
)

// maxGap is a tenth of the shortest first-token target.
const maxGap = 100 * time.Millisecond

// fill submits more long requests than there are slots, so that some wait.
func (c *cluster) fill(n *node, waiting int) {
	for range testServers*testSlots + waiting {
		c.request(n, false, 2*time.Second)
	}
	time.Sleep(100 * time.Millisecond)
}

func TestKilledSchedulerIsPassedOver(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		gone := c.scheduler(0)
		c.load(10, 20*time.Millisecond, gone)
		c.kill(gone)
		c.load(10, 20*time.Millisecond)
		c.finish()
		t.Logf("longest wait %v", c.longestWait())
		if got := c.longestWait(); got > maxGap+serviceTime {
			t.Errorf("longest wait %v", got)
		}
	})
}

// TestFrozenSchedulerIsPassedOver freezes one at which tickets wait that it
// acknowledged, and measures until its whole queue stands at the next one.
func TestFrozenSchedulerIsPassedOver(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		frozen := c.scheduler(0)
		entry := c.nodes[c.other(frozen)]
		c.fill(entry, 10)
		c.network.Freeze(frozen)
		start := time.Now()
		for entry.remote.events[Moved].Load() < testServers*testSlots+10 {
			time.Sleep(time.Millisecond)
			if time.Since(start) > time.Second {
				t.Fatal("not passed over")
			}
		}
		gap := time.Since(start)
		t.Logf("passed over after %v", gap)
		if gap > maxGap {
			t.Errorf("gap %v", gap)
		}
		time.Sleep(time.Second)
		c.network.Thaw(frozen)
		c.finish()
	})
}

// TestSessionsReturnToTheFirstScheduler freezes one so shortly that tickets
// wait at the next one when it answers again.
func TestSessionsReturnToTheFirstScheduler(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		frozen := c.scheduler(0)
		entry := c.nodes[c.other(frozen)]
		c.fill(entry, 10)
		c.network.Freeze(frozen)
		time.Sleep(200 * time.Millisecond)
		c.network.Thaw(frozen)
		c.finish()
		if c.count(Recovered) == 0 {
			t.Error("did not come back")
		}
		if got := c.longestWait(); got > 3*time.Second {
			t.Errorf("longest wait %v", got)
		}
	})
}

// TestGapOfAFrozenScheduler freezes at 40 moments between two signs of life.
func TestGapOfAFrozenScheduler(t *testing.T) {
	var longest, sum time.Duration
	const rounds = 40
	for i := range rounds {
		run(t, []int{3}, func(t *testing.T, c *cluster) {
			frozen := c.scheduler(0)
			entry := c.nodes[c.other(frozen)]
			c.fill(entry, 1)
			time.Sleep(time.Duration(i) * 29 * time.Millisecond / rounds)
			c.network.Freeze(frozen)
			start := time.Now()
			for entry.remote.events[FailedOver].Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			gap := time.Since(start)
			longest = max(longest, gap)
			sum += gap
			c.network.Thaw(frozen)
		})
	}
	t.Logf("gap mean %v, longest %v", sum/rounds, longest)
	if longest > maxGap {
		t.Errorf("longest gap %v", longest)
	}
}

// TestSlowAnswersPassOverNobody has answers that take half of the limit.
func TestSlowAnswersPassOverNobody(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		c.network.SetDelay(14 * time.Millisecond)
		c.load(50, 10*time.Millisecond)
		c.finish()
		if got := c.count(FailedOver); got != 0 {
			t.Errorf("passed over %d times", got)
		}
	})
}

func TestEntryCutFromItsScheduler(t *testing.T) {
	tests := []struct {
		name string
		cut  func(c *cluster, entry, scheduler *node)
	}{
		{"both ways", func(c *cluster, entry, scheduler *node) {
			c.network.Cut(entry.endpoint.Local(), scheduler.endpoint.Local())
		}},
		{"tickets lost", func(c *cluster, entry, scheduler *node) {
			c.network.CutOneWay(entry.endpoint.Local(), scheduler.endpoint.Local())
		}},
		{"verdicts lost", func(c *cluster, entry, scheduler *node) {
			c.network.CutOneWay(scheduler.endpoint.Local(), entry.endpoint.Local())
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, []int{5}, func(t *testing.T, c *cluster) {
				scheduler := c.nodes[c.scheduler(0)]
				entry := c.nodes[c.other(scheduler.endpoint.Local())]
				c.load(10, 20*time.Millisecond)
				test.cut(c, entry, scheduler)
				c.load(20, 20*time.Millisecond)
				c.network.Heal()
				c.load(20, 20*time.Millisecond)
				c.finish()
				t.Logf("longest wait %v", c.longestWait())
				if got := c.longestWait(); got > maxGap+serviceTime {
					t.Errorf("longest wait %v", got)
				}
				if got := scheduler.remote.Counters()[FailedOver]; got != 0 {
					t.Errorf("the scheduler passed over others %d times", got)
				}
			})
		})
	}
}

// TestTwoSchedulersAtOnce cuts half of the instances off from the scheduler, so
// that two schedule the same servers for 20 s.
func TestTwoSchedulersAtOnce(t *testing.T) {
	run(t, []int{6}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		half := 0
		for _, n := range c.live() {
			if a := n.endpoint.Local(); a != scheduler && half < 3 {
				c.network.Cut(a, scheduler)
				half++
			}
		}
		c.load(400, 50*time.Millisecond)
		c.network.Heal()
		c.load(100, 50*time.Millisecond)
		c.finish()
		if c.count(FailedOver) == 0 || c.count(Recovered) == 0 {
			t.Error("there were no two schedulers")
		}
	})
}

func TestVerdictOfASupersededSchedulerIsDropped(t *testing.T) {
	run(t, []int{3}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		entry := c.nodes[c.other(scheduler)]
		stranger := c.nodes[c.other(scheduler, entry.endpoint.Local())]
		c.fill(entry, 1)
		last := schedcore.RequestID{7: testServers*testSlots + 1}
		v := wireOf(sessionID{ID: last}, Decision{Kind: Granted, Server: "s0-0", Attempt: 1})
		answer, err := peer.Call[verdictBatch, verdictAnswer](t.Context(), stranger.endpoint,
			entry.endpoint.Local(), peer.KindDecisions, verdictBatch{Verdicts: []wireVerdict{v}})
		if err != nil || len(answer.Unknown) != 1 {
			t.Errorf("answer %v, %v", answer, err)
		}
		if c.count(Superseded) != 1 || c.started() != testServers*testSlots {
			t.Errorf("superseded %d, running %d", c.count(Superseded), c.started())
		}
		c.finish()
	})
}

// TestOneGrantIsAcceptedAnAttempt hands a session grants that no single
// scheduler gives.
func TestOneGrantIsAcceptedAnAttempt(t *testing.T) {
	run(t, []int{1}, func(t *testing.T, c *cluster) {
		n := c.nodes[address(0, 0)]
		s := n.remote.Submit(context.Background(), schedcore.Ticket{ID: schedcore.RequestID{1}, Model: model, Class: "c"}).(*remoteSession)
		first := <-s.Decisions()
		give := func(attempt uint32) {
			n.remote.mu.Lock()
			defer n.remote.mu.Unlock()
			s.accept(Decision{Kind: Granted, Server: "s0-1", Attempt: attempt})
		}
		give(first.Attempt)
		give(first.Attempt + 1)
		if got := n.remote.Counters()[Duplicate]; got != 2 || len(s.verdicts) != 0 {
			t.Errorf("duplicates = %d, verdicts = %d", got, len(s.verdicts))
		}
		n.remote.mu.Lock()
		s.setRunning(false)
		n.remote.mu.Unlock()
		give(first.Attempt + 1)
		if v := <-s.Decisions(); v.Kind != Refused || v.Final != outcome.Unknown {
			t.Errorf("a request that may have run got %+v", v)
		}
		if got := n.remote.Counters()[SecondGrant]; got != 1 {
			t.Errorf("second grants = %d", got)
		}
	})
}

func TestSchedulerRestartsAtItsAddress(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		entry := c.nodes[c.other(scheduler)]
		c.fill(entry, 10)
		c.kill(scheduler)
		c.start(0, int(scheduler.Addr().As4()[3]), 2)
		c.finish()
		if c.count(Resubmitted)+c.count(Moved) == 0 {
			t.Error("nothing was sent again")
		}
	})
}

// TestLostSessionsAreSentAgain has a scheduler drop what it holds, as it does
// after a long silence.
func TestLostSessionsAreSentAgain(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.nodes[c.scheduler(0)]
		entry := c.nodes[c.other(scheduler.endpoint.Local())]
		c.fill(entry, 10)
		h := scheduler.remote.host
		h.mu.Lock()
		h.drop(h.entries[entry.endpoint.Local()])
		h.mu.Unlock()
		c.finish()
		if got := c.count(Resubmitted); got != testServers*testSlots+10 {
			t.Errorf("%d sent again", got)
		}
	})
}

// TestQuietSessionsAreChecked ends requests while their first scheduler is cut
// off, and keeps talking to it afterwards.
func TestQuietSessionsAreChecked(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.nodes[c.scheduler(0)]
		entry := c.nodes[c.other(scheduler.endpoint.Local())]
		c.request(entry, false, 30*time.Second)
		for range testServers*testSlots - 1 {
			c.request(entry, false, 500*time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		c.network.Cut(entry.endpoint.Local(), scheduler.endpoint.Local())
		time.Sleep(time.Second)
		c.network.Heal()
		time.Sleep(15 * time.Second)
		h := scheduler.remote.host
		h.mu.Lock()
		if got := len(h.entries[entry.endpoint.Local()].sessions); got != 1 {
			t.Errorf("the first scheduler holds %d sessions, want the one that runs", got)
		}
		h.mu.Unlock()
		c.finish()
	})
}

func TestLeavingSchedulerHandsItsPoolsOver(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		entry := c.nodes[c.other(scheduler)]
		c.fill(entry, 10)
		if err := c.nodes[scheduler].group.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		c.nodes[scheduler].remote.host.mu.Lock()
		for _, e := range c.nodes[scheduler].remote.host.entries {
			if len(e.sessions) > 0 {
				t.Errorf("%d sessions left behind", len(e.sessions))
			}
		}
		c.nodes[scheduler].remote.host.mu.Unlock()
		c.kill(scheduler)
		c.finish()
		if got := c.count(FailedOver); got != 0 {
			t.Errorf("passed over %d times", got)
		}
	})
}

func TestAllPeersReplacedWhileRequestsRun(t *testing.T) {
	run(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.scheduler(0)
		survivor := c.other(scheduler)
		c.fill(c.nodes[survivor], 10)
		for i := range 5 {
			if a := address(0, i); a != survivor {
				c.kill(a)
			}
		}
		for i := 5; i < 9; i++ {
			c.start(0, i, 1)
		}
		c.finish()
	})
}

// TestAloneWithAReducedShare cuts one instance off from all others.
func TestAloneWithAReducedShare(t *testing.T) {
	run(t, []int{4}, func(t *testing.T, c *cluster) {
		entry := c.nodes[c.other(c.scheduler(0))]
		c.network.Isolate(entry.endpoint.Local())
		time.Sleep(6 * time.Second)
		for range 2 * testServers {
			c.request(entry, false, time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		if got := c.started(); got != testServers*testSlots/4 {
			t.Errorf("%d run, want a quarter of %d slots", got, testServers*testSlots)
		}
		c.network.Heal()
		time.Sleep(10 * time.Second)
		before := c.started()
		c.fill(entry, 0)
		if got := c.started() - before; got != testServers*testSlots {
			t.Errorf("%d run after the partition", got)
		}
		c.finish()
	})
}

func TestReferralToAnotherDataCentre(t *testing.T) {
	run(t, []int{3, 3}, func(t *testing.T, c *cluster) {
		entry := c.nodes[c.other(c.scheduler(0))]
		c.class = "tight"
		c.fill(entry, 0)
		time.Sleep(time.Second) // the full pool asks the other data centre
		const more = 12
		for range more {
			c.request(entry, false, serviceTime)
		}
		c.callers.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if got := c.ended[outcome.Completed]; got != testServers*testSlots+more {
			t.Errorf("ended %v, refused for %v", c.ended, c.reasons)
		}
		if got := c.count(Referred); got != more {
			t.Errorf("%d were referred", got)
		}
	})
}

// A data centre whose servers all drain, or that has none of a model, refers
// what comes for it.
func TestReferralFromAPoolWithoutServers(t *testing.T) {
	run(t, []int{2, 2}, func(t *testing.T, c *cluster) {
		s := snapshot(2, 0)
		for name, b := range s.BackendServers {
			b.Spec.Drain = b.Spec.DataCentre == "dc0"
			s.BackendServers[name] = b
		}
		for _, n := range c.nodes {
			n.local.Configure(s)
		}
		entry := c.nodes[c.other(c.scheduler(0))]
		c.request(entry, false, serviceTime)
		time.Sleep(time.Second)
		const more = 5
		for range more {
			c.request(entry, false, serviceTime)
		}
		c.callers.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if got := c.ended[outcome.Completed]; got < more {
			t.Errorf("ended %v, refused for %v", c.ended, c.reasons)
		}
	})
}
