package scheduler

import (
	"context"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/schedcore"
)

// maxFailoverTime is the longest time a failover may take: a tenth of the
// shortest target for the time to the first token.
const maxFailoverTime = 100 * time.Millisecond

// overfill submits requests that run for 2 seconds: one for each slot, and
// further requests that wait for a slot. The argument waiting is the number of
// further requests.
func (c *cluster) overfill(n *node, waiting int) {
	for range testServers*testSlots + waiting {
		c.startRequest(n, false, 2*time.Second)
	}
	time.Sleep(100 * time.Millisecond)
}

// TestCrashedSchedulerFailsOver crashes a scheduler while requests arrive. No
// request may wait for its grant longer than maxFailoverTime plus serviceTime.
func TestCrashedSchedulerFailsOver(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		crashed := c.schedulerAddress(0)
		c.loadAll(10, 20*time.Millisecond, crashed)
		c.crash(crashed)
		c.loadAll(10, 20*time.Millisecond)
		c.finishAndCheck()
		t.Logf("longest wait for a grant %v", c.longestWait())
		if got := c.longestWait(); got > maxFailoverTime+serviceTime {
			t.Errorf("longest wait for a grant %v, want at most 150ms (maxFailoverTime + serviceTime)", got)
		}
	})
}

// TestFrozenSchedulerFailsOver freezes a scheduler that has acknowledged
// waiting tickets, and measures the time until all its sessions have moved to
// the next instance.
func TestFrozenSchedulerFailsOver(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		frozen := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(frozen)]
		c.overfill(entry, 10)
		c.network.Freeze(frozen)
		start := time.Now()
		for entry.remote.events[Moved].Load() < testServers*testSlots+10 {
			time.Sleep(time.Millisecond)
			if time.Since(start) > time.Second {
				t.Fatal("some sessions had not moved after 1 s, want all moved")
			}
		}
		failoverTime := time.Since(start)
		t.Logf("all sessions moved after %v", failoverTime)
		if failoverTime > maxFailoverTime {
			t.Errorf("the failover took %v, want at most 100ms (maxFailoverTime)", failoverTime)
		}
		time.Sleep(time.Second)
		c.network.Thaw(frozen)
		c.finishAndCheck()
	})
}

// TestSessionsReturnToTheFirstScheduler freezes a scheduler for 200 ms. When the
// scheduler is thawed, some tickets still wait at another scheduler. These
// tickets must return to the first scheduler, and all requests must complete.
func TestSessionsReturnToTheFirstScheduler(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		frozen := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(frozen)]
		c.overfill(entry, 10)
		c.network.Freeze(frozen)
		time.Sleep(200 * time.Millisecond)
		c.network.Thaw(frozen)
		c.finishAndCheck()
		if c.countEvents(Recovered) == 0 {
			t.Error("no scheduler recovered, want the thawed scheduler to be used again")
		}
		if got := c.longestWait(); got > 3*time.Second {
			t.Errorf("longest wait for a grant %v, want at most 3s", got)
		}
	})
}

// TestFailoverTimeOfAFrozenScheduler freezes a scheduler at 40 different points
// of the interval between two keepalives. From each point, the failover may take
// at most maxFailoverTime.
func TestFailoverTimeOfAFrozenScheduler(t *testing.T) {
	var longest, sum time.Duration
	const freezes = 40
	for i := range freezes {
		runCluster(t, []int{3}, func(t *testing.T, c *cluster) {
			frozen := c.schedulerAddress(0)
			entry := c.nodes[c.otherInstance(frozen)]
			c.overfill(entry, 1)
			time.Sleep(time.Duration(i) * 29 * time.Millisecond / freezes)
			c.network.Freeze(frozen)
			start := time.Now()
			for entry.remote.events[FailedOver].Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			failoverTime := time.Since(start)
			longest = max(longest, failoverTime)
			sum += failoverTime
			c.network.Thaw(frozen)
		})
	}
	t.Logf("failover time: mean %v, longest %v", sum/freezes, longest)
	if longest > maxFailoverTime {
		t.Errorf("the longest failover took %v, want at most 100ms (maxFailoverTime)", longest)
	}
}

// TestSlowResponsesCauseNoFailover delays each message so that a response arrives
// after about half of the timeout. Such a delay must not cause a failover.
func TestSlowResponsesCauseNoFailover(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		c.network.SetDelay(14 * time.Millisecond)
		c.loadAll(50, 10*time.Millisecond)
		c.finishAndCheck()
		if got := c.countEvents(FailedOver); got != 0 {
			t.Errorf("%d failovers, want none", got)
		}
	})
}

// TestEntryInstanceCutOffFromItsScheduler cuts the connection between an entry
// instance and its scheduler, in one or both directions, while requests arrive.
// Requests must move to another scheduler without a long wait.
func TestEntryInstanceCutOffFromItsScheduler(t *testing.T) {
	tests := []struct {
		name string
		cut  func(c *cluster, entry, scheduler *node)
	}{
		{"both directions", func(c *cluster, entry, scheduler *node) {
			c.network.Cut(entry.endpoint.Local(), scheduler.endpoint.Local())
		}},
		{"tickets lost", func(c *cluster, entry, scheduler *node) {
			c.network.CutOneWay(entry.endpoint.Local(), scheduler.endpoint.Local())
		}},
		{"decisions lost", func(c *cluster, entry, scheduler *node) {
			c.network.CutOneWay(scheduler.endpoint.Local(), entry.endpoint.Local())
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
				scheduler := c.nodes[c.schedulerAddress(0)]
				entry := c.nodes[c.otherInstance(scheduler.endpoint.Local())]
				c.loadAll(10, 20*time.Millisecond)
				test.cut(c, entry, scheduler)
				c.loadAll(20, 20*time.Millisecond)
				c.network.Heal()
				c.loadAll(20, 20*time.Millisecond)
				c.finishAndCheck()
				t.Logf("longest wait for a grant %v", c.longestWait())
				if got := c.longestWait(); got > maxFailoverTime+serviceTime {
					t.Errorf("longest wait for a grant %v, want at most 150ms (maxFailoverTime + serviceTime)", got)
				}
				if got := scheduler.remote.Counters()[FailedOver]; got != 0 {
					t.Errorf("%d failovers of the cut-off scheduler's own sessions, want 0", got)
				}
			})
		})
	}
}

// TestTwoSchedulersAtOnce cuts half of the instances off from the scheduler, so
// that two instances schedule the same servers for 20 s. No request may run
// twice.
func TestTwoSchedulersAtOnce(t *testing.T) {
	runCluster(t, []int{6}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		cutOff := 0
		for _, n := range c.liveNodes() {
			if a := n.endpoint.Local(); a != scheduler && cutOff < 3 {
				c.network.Cut(a, scheduler)
				cutOff++
			}
		}
		c.loadAll(400, 50*time.Millisecond)
		c.network.Heal()
		c.loadAll(100, 50*time.Millisecond)
		c.finishAndCheck()
		if c.countEvents(FailedOver) == 0 || c.countEvents(Recovered) == 0 {
			t.Error("no failover or no recovery was counted, want a failover during the cut and a recovery after the cut")
		}
	})
}

// TestDecisionOfASupersededSchedulerIsDropped sends an entry instance a grant
// from an instance that does not schedule the request. The request must not run,
// and the response must say that the session is unknown.
func TestDecisionOfASupersededSchedulerIsDropped(t *testing.T) {
	runCluster(t, []int{3}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(scheduler)]
		otherScheduler := c.nodes[c.otherInstance(scheduler, entry.endpoint.Local())]
		c.overfill(entry, 1)
		waitingID := schedcore.RequestID{7: testServers*testSlots + 1}
		wire := toWire(sessionID{ID: waitingID}, Decision{Kind: Granted, Server: "s0-0", Attempt: 1})
		response, err := peer.Call[decisionBatch, decisionResponse](t.Context(), otherScheduler.endpoint,
			entry.endpoint.Local(), peer.KindDecisions, decisionBatch{Decisions: []wireDecision{wire}})
		if err != nil || len(response.UnknownSessions) != 1 {
			t.Errorf("response %v, error %v; want one unknown session and no error", response, err)
		}
		if c.countEvents(Superseded) != 1 || c.startedRequests() != testServers*testSlots {
			t.Errorf("%d superseded decisions, %d requests running; want 1 superseded decision and one running request for each slot", c.countEvents(Superseded), c.startedRequests())
		}
		c.finishAndCheck()
	})
}

// TestOneGrantIsAcceptedPerAttempt passes a session further grants, as if its
// pool had two schedulers. While the request runs, a further grant must be
// ignored. After the request may have run, a further grant must end the request,
// because the request is not idempotent.
func TestOneGrantIsAcceptedPerAttempt(t *testing.T) {
	runCluster(t, []int{1}, func(t *testing.T, c *cluster) {
		n := c.nodes[address(0, 0)]
		s := n.remote.Submit(context.Background(), schedcore.Ticket{ID: schedcore.RequestID{1}, Model: testModel, Class: "c"}).(*remoteSession)
		first := <-s.Decisions()
		grant := func(attempt uint32) {
			n.remote.mu.Lock()
			defer n.remote.mu.Unlock()
			s.accept(Decision{Kind: Granted, Server: "s0-1", Attempt: attempt})
		}
		grant(first.Attempt)
		grant(first.Attempt + 1)
		if got := n.remote.Counters()[Duplicate]; got != 2 || len(s.decisions) != 0 {
			t.Errorf("%d duplicate grants counted, %d decisions delivered; want 2 and none", got, len(s.decisions))
		}
		n.remote.mu.Lock()
		s.setRunning(false)
		n.remote.mu.Unlock()
		grant(first.Attempt + 1)
		if v := <-s.Decisions(); v.Kind != Refused || v.Final != outcome.Unknown {
			t.Errorf("a request that may have run got %+v, want a refusal with an unknown outcome", v)
		}
		if got := n.remote.Counters()[SecondGrant]; got != 1 {
			t.Errorf("%d second grants counted, want 1", got)
		}
	})
}

// TestSchedulerRestartsAtItsAddress replaces a crashed scheduler by a new process
// at the same address. The sessions that the old process hosted must not be
// lost.
func TestSchedulerRestartsAtItsAddress(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(scheduler)]
		c.overfill(entry, 10)
		c.crash(scheduler)
		c.startNode(0, int(scheduler.Addr().As4()[3]), 2)
		c.finishAndCheck()
		if c.countEvents(Resubmitted)+c.countEvents(Moved) == 0 {
			t.Error("no session was resubmitted or moved, want at least one")
		}
	})
}

// TestLostSessionsAreResubmitted makes a scheduler drop the sessions that it
// hosts, as it does after EntryInstanceTimeout without a message from their entry
// instance. The entry instance must notice that the sessions are missing and
// submit them again.
func TestLostSessionsAreResubmitted(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.nodes[c.schedulerAddress(0)]
		entry := c.nodes[c.otherInstance(scheduler.endpoint.Local())]
		c.overfill(entry, 10)
		h := scheduler.remote.hosting
		h.mu.Lock()
		h.dropEntryInstance(h.entryInstances[entry.endpoint.Local()])
		h.mu.Unlock()
		c.finishAndCheck()
		if got := c.countEvents(Resubmitted); got != testServers*testSlots+10 {
			t.Errorf("%d sessions were resubmitted, want one for each slot and the 10 that wait", got)
		}
	})
}

// TestQuietSessionsAreCheckedWithTheirEntryInstance ends requests while the
// connection to their first scheduler is cut. One request still runs afterwards,
// so the entry instance keeps calling that scheduler and does not time out there.
// The scheduler must ask the entry instance about the other sessions and drop
// them.
func TestQuietSessionsAreCheckedWithTheirEntryInstance(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.nodes[c.schedulerAddress(0)]
		entry := c.nodes[c.otherInstance(scheduler.endpoint.Local())]
		c.startRequest(entry, false, 30*time.Second)
		for range testServers*testSlots - 1 {
			c.startRequest(entry, false, 500*time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		c.network.Cut(entry.endpoint.Local(), scheduler.endpoint.Local())
		time.Sleep(time.Second)
		c.network.Heal()
		time.Sleep(15 * time.Second)
		h := scheduler.remote.hosting
		h.mu.Lock()
		if got := len(h.entryInstances[entry.endpoint.Local()].sessions); got != 1 {
			t.Errorf("the first scheduler hosts %d sessions, want 1: the session of the running request", got)
		}
		h.mu.Unlock()
		c.finishAndCheck()
	})
}

// TestLeavingSchedulerHandsOverItsSessions announces that a scheduler is
// leaving before the scheduler stops. The sessions of the scheduler must move
// without a failed call.
func TestLeavingSchedulerHandsOverItsSessions(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		entry := c.nodes[c.otherInstance(scheduler)]
		c.overfill(entry, 10)
		if err := c.nodes[scheduler].group.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		c.nodes[scheduler].remote.hosting.mu.Lock()
		for _, e := range c.nodes[scheduler].remote.hosting.entryInstances {
			if len(e.sessions) > 0 {
				t.Errorf("the leaving scheduler still hosts %d sessions of an entry instance, want none", len(e.sessions))
			}
		}
		c.nodes[scheduler].remote.hosting.mu.Unlock()
		c.crash(scheduler)
		c.finishAndCheck()
		if got := c.countEvents(FailedOver); got != 0 {
			t.Errorf("%d failovers, want none", got)
		}
	})
}

// TestRequestsSurviveReplacementOfAllPeers crashes all instances but one and
// starts new ones at other addresses. The requests of the remaining instance
// must complete.
func TestRequestsSurviveReplacementOfAllPeers(t *testing.T) {
	runCluster(t, []int{5}, func(t *testing.T, c *cluster) {
		scheduler := c.schedulerAddress(0)
		survivor := c.otherInstance(scheduler)
		c.overfill(c.nodes[survivor], 10)
		for i := range 5 {
			if a := address(0, i); a != survivor {
				c.crash(a)
			}
		}
		for i := 5; i < 9; i++ {
			c.startNode(0, i, 1)
		}
		c.finishAndCheck()
	})
}

// TestIsolatedInstanceUsesAShareOfTheSlots disconnects one of four instances
// from the others. The isolated instance may use a quarter of the slots until
// the partition ends, and all slots afterwards.
func TestIsolatedInstanceUsesAShareOfTheSlots(t *testing.T) {
	runCluster(t, []int{4}, func(t *testing.T, c *cluster) {
		entry := c.nodes[c.otherInstance(c.schedulerAddress(0))]
		c.network.Isolate(entry.endpoint.Local())
		time.Sleep(6 * time.Second)
		for range 2 * testServers {
			c.startRequest(entry, false, time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		if got := c.startedRequests(); got != testServers*testSlots/4 {
			t.Errorf("%d requests run at the isolated instance, want a quarter of the %d slots", got, testServers*testSlots)
		}
		c.network.Heal()
		time.Sleep(10 * time.Second)
		before := c.startedRequests()
		c.overfill(entry, 0)
		if got := c.startedRequests() - before; got != testServers*testSlots {
			t.Errorf("%d requests run after the partition, want one for each slot", got)
		}
		c.finishAndCheck()
	})
}

// TestFullPoolRefersToAnotherDataCentre submits requests with a short maximum
// wait while all slots of the data centre are taken. They must run in the other
// data centre.
func TestFullPoolRefersToAnotherDataCentre(t *testing.T) {
	runCluster(t, []int{3, 3}, func(t *testing.T, c *cluster) {
		entry := c.nodes[c.otherInstance(c.schedulerAddress(0))]
		c.class = "tight"
		c.overfill(entry, 0)
		time.Sleep(time.Second) // the full pool requests the other data centre's free capacity
		const furtherRequests = 12
		for range furtherRequests {
			c.startRequest(entry, false, serviceTime)
		}
		c.callers.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if got := c.outcomes[outcome.Completed]; got != testServers*testSlots+furtherRequests {
			t.Errorf("outcomes %v, refusal reasons %v; want all requests completed", c.outcomes, c.reasons)
		}
		if got := c.countEvents(Referred); got != furtherRequests {
			t.Errorf("%d requests were referred, want 12: all requests submitted after the pool was full", got)
		}
	})
}

// TestPoolWithoutServersRefersToAnotherDataCentre drains all servers of a pool.
// The pool must refer its requests to another data centre.
func TestPoolWithoutServersRefersToAnotherDataCentre(t *testing.T) {
	runCluster(t, []int{2, 2}, func(t *testing.T, c *cluster) {
		s := testConfig(2, 0)
		for name, b := range s.BackendServers {
			b.Spec.Drain = b.Spec.DataCentre == "dc0"
			s.BackendServers[name] = b
		}
		for _, n := range c.nodes {
			n.local.Configure(s)
		}
		entry := c.nodes[c.otherInstance(c.schedulerAddress(0))]
		c.startRequest(entry, false, serviceTime)
		time.Sleep(time.Second)
		const furtherRequests = 5
		for range furtherRequests {
			c.startRequest(entry, false, serviceTime)
		}
		c.callers.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if got := c.outcomes[outcome.Completed]; got < furtherRequests {
			t.Errorf("outcomes %v, refusal reasons %v; want at least 5 requests completed", c.outcomes, c.reasons)
		}
	})
}
