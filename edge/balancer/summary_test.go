package balancer

import (
	"fmt"
	"testing"
	"time"
)

// TestDigestIsTheSumOfADataCentre has two instances of one data centre send, and
// one of another hear of it by a digest.
func TestDigestIsTheSumOfADataCentre(t *testing.T) {
	a, b := newTable(), newTable()
	far := New(Options{DataCentre: "dc1", Seed: 1})
	first := send(t, a, prompt, begin, serverOf("a"))
	send(t, b, prompt, begin, serverOf("a"))
	send(t, b, prompt, begin, serverOf("b"))
	a.ReceiveReports("b", "dc0", b.Reports(begin), begin)
	// What an instance of a third data centre tells is not this one's to tell.
	a.ReceiveReports("c", "dc2", b.Reports(begin), begin)
	far.ReceiveReports("b", "dc0", b.Reports(begin), begin)
	told := a.Summary(begin)
	far.ReceiveSummary("dc0", told, begin)
	if got := far.row(first.Key).all().Running; got != 2 {
		t.Errorf("%d requests at a, want 2: a digest takes the place of its instances' reports", got)
	}
	if got := far.row(first.Key).kept.tokens(prompt.PrefixBlocks[:1], begin); got != 4000 {
		t.Errorf("%d tokens are held to be kept at a", got)
	}
	end := begin.Add(100 * time.Millisecond)
	a.EndAttempt(first, Succeeded, end)
	b2 := New(Options{DataCentre: "dc0", Seed: 2})
	a.ReceiveReports("b", "dc0", b2.Reports(end), end)
	far.ReceiveSummary("dc0", a.Summary(end), end)
	for key, s := range far.servers {
		if s.all() != (Load{}) {
			t.Errorf("server %x is left with %+v after all ended", key, s.all())
		}
	}
}

// TestDigestThatIsNotToldAgainLapses has a data centre fall silent.
func TestDigestThatIsNotToldAgainLapses(t *testing.T) {
	near, far := newTable(), New(Options{DataCentre: "dc1", Seed: 1})
	a := send(t, near, prompt, begin, serverOf("a"))
	far.ReceiveSummary("dc0", near.Summary(begin), begin)
	far.ExpireReports(begin.Add(reportLife / 2))
	if got := far.row(a.Key).all().Running; got != 1 {
		t.Errorf("%d requests, want 1", got)
	}
	far.ExpireReports(begin.Add(2 * reportLife))
	if got := far.row(a.Key).all(); got != (Load{}) {
		t.Errorf("left with %+v", got)
	}
	// What faded is not taken out a second time.
	far.RetainServers(func(uint64) bool { return false })
	far.ExpireReports(begin.Add(3 * reportLife))
	if len(far.servers) != 0 {
		t.Errorf("%d servers are left", len(far.servers))
	}
}

// TestPartsPassThroughADigest has parts told by many instances.
func TestPartsPassThroughADigest(t *testing.T) {
	speaker := newTable()
	for n := range 5 {
		mate := newTable()
		r := prompt
		r.PrefixBlocks = []PrefixBlock{{ID: uint64(100 + n), Tokens: 4000}, {ID: 2, Tokens: 1000}}
		send(t, mate, r, begin, serverOf("a"))
		speaker.ReceiveReports(fmt.Sprint(n), "dc0", mate.Reports(begin), begin)
	}
	told := speaker.Summary(begin.Add(50 * time.Millisecond))
	if len(told) != 1 || len(told[0].Parts) != 5 || told[0].Load.Running != 5 {
		t.Errorf("got %+v", told)
	}
	if told = speaker.Summary(begin.Add(2 * tellFor)); len(told[0].Parts) != 0 {
		t.Errorf("old parts are told again: %+v", told)
	}
}
