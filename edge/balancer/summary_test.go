package balancer

import (
	"fmt"
	"testing"
	"time"
)

// TestSummaryIsTheSumOverADataCentre has two instances of one data centre send
// requests. An instance of another data centre first receives a direct report
// and then the summary. The summary must replace the report.
func TestSummaryIsTheSumOverADataCentre(t *testing.T) {
	a, b := newBalancer(), newBalancer()
	remote := New(Options{DataCentre: "dc1", Seed: 1})
	first := chooseAndBegin(t, a, promptRequest, startTime, newServer("a"))
	chooseAndBegin(t, b, promptRequest, startTime, newServer("a"))
	chooseAndBegin(t, b, promptRequest, startTime, newServer("b"))
	a.ReceiveReports("b", "dc0", b.Reports(startTime), startTime)
	// Instance c is in a third data centre, so the summary of dc0 must leave
	// its report out.
	a.ReceiveReports("c", "dc2", b.Reports(startTime), startTime)
	remote.ReceiveReports("b", "dc0", b.Reports(startTime), startTime)
	summary := a.Summary(startTime)
	remote.ReceiveSummary("dc0", summary, startTime)
	if got := remote.serverState(first.Key).totalLoad().Running; got != 2 {
		t.Errorf("got %d requests at server a, want 2 as the summary replaces the report", got)
	}
	if got := remote.serverState(first.Key).cachedBlocks.cachedTokens(promptRequest.PrefixBlocks[:1], startTime); got != 4000 {
		t.Errorf("got %d cached tokens at server a, want 4000", got)
	}
	end := startTime.Add(100 * time.Millisecond)
	a.EndAttempt(first, Succeeded, end)
	idle := New(Options{DataCentre: "dc0", Seed: 2})
	a.ReceiveReports("b", "dc0", idle.Reports(end), end)
	remote.ReceiveSummary("dc0", a.Summary(end), end)
	for key, s := range remote.servers {
		if s.totalLoad() != (Load{}) {
			t.Errorf("server %x has load %+v after all attempts ended, want zero load", key, s.totalLoad())
		}
	}
}

// TestSummaryExpiresIfNotRepeated receives a single summary from a data centre.
// The summary's load must count until reportTimeout has passed and not longer.
func TestSummaryExpiresIfNotRepeated(t *testing.T) {
	local, remote := newBalancer(), New(Options{DataCentre: "dc1", Seed: 1})
	a := chooseAndBegin(t, local, promptRequest, startTime, newServer("a"))
	remote.ReceiveSummary("dc0", local.Summary(startTime), startTime)
	remote.ExpireReports(startTime.Add(reportTimeout / 2))
	if got := remote.serverState(a.Key).totalLoad().Running; got != 1 {
		t.Errorf("before the summary expired: got %d requests, want 1", got)
	}
	remote.ExpireReports(startTime.Add(2 * reportTimeout))
	if got := remote.serverState(a.Key).totalLoad(); got != (Load{}) {
		t.Errorf("after the summary expired: got load %+v, want zero load", got)
	}
	// An expired summary must not be subtracted a second time.
	remote.RetainServers(func(uint64) bool { return false })
	remote.ExpireReports(startTime.Add(3 * reportTimeout))
	if len(remote.servers) != 0 {
		t.Errorf("got %d servers after all were dropped, want 0", len(remote.servers))
	}
}

// TestSummaryIncludesPrefixBlocksOfPeers has each of five peers report a
// different prefix block. A summary must contain all five blocks at first, and
// no block after blockReportPeriod.
func TestSummaryIncludesPrefixBlocksOfPeers(t *testing.T) {
	summariser := newBalancer()
	for n := range 5 {
		peer := newBalancer()
		r := promptRequest
		r.PrefixBlocks = []PrefixBlock{{ID: uint64(100 + n), Tokens: 4000}, {ID: 2, Tokens: 1000}}
		chooseAndBegin(t, peer, r, startTime, newServer("a"))
		summariser.ReceiveReports(fmt.Sprint(n), "dc0", peer.Reports(startTime), startTime)
	}
	summary := summariser.Summary(startTime.Add(50 * time.Millisecond))
	if len(summary) != 1 || len(summary[0].PrefixBlocks) != 5 || summary[0].Load.Running != 5 {
		t.Errorf("got summary %+v, want one server with 5 blocks and 5 running requests", summary)
	}
	if summary = summariser.Summary(startTime.Add(2 * blockReportPeriod)); len(summary[0].PrefixBlocks) != 0 {
		t.Errorf("after blockReportPeriod: got summary %+v, want no blocks", summary)
	}
}
