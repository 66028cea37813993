package bench

import (
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/loadgen"
)

const sampleTrace = `{"at":10.5,"class":"provenance","org":"a","model":"m","prompt":900,"answer":20,"outcome":"completed","first":50}
{"at":12,"class":"note","org":"b","model":"s","prompt":0,"answer":0,"service":true,"outcome":"completed"}
{"at":30,"class":"review","org":"b","model":"m","prompt":2000,"answer":40,"prefix":9,"prefixTokens":1200,"outcome":"refused","reason":"evicted"}
`

// TestReplayUsesTheTracesArrivals checks that a replay simulates the two calls to
// models in the trace, with answers of 20 and 40 tokens, and leaves out the call
// to a plain service.
func TestReplayUsesTheTracesArrivals(t *testing.T) {
	trace, err := loadgen.ReadTrace(strings.NewReader(sampleTrace))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Replay(shortened(CovorAuctionWorkload(), time.Second), trace, RoundRobin(), testSeed)
	if err != nil {
		t.Fatal(err)
	}
	if r.GoodTokens != 60 {
		t.Errorf("%d good tokens, want the 60 of the trace", r.GoodTokens)
	}
	if _, err := Replay(LowTierBurstWorkload(), trace, RoundRobin(), testSeed); err == nil {
		t.Error("a trace with a class that the workload lacks was replayed without an error")
	}
}

func TestCompare(t *testing.T) {
	first := Result{Goodput: 0.5, Classes: []ClassResult{{Class: "c", Attainment: 0.8}}}
	second := Result{Goodput: 1, Classes: []ClassResult{{Class: "c", Attainment: 0.4}}}
	got := make(map[string]float64)
	for _, r := range Compare(first, second) {
		got[r.Figure] = r.Ratio
	}
	if got["goodput"] != 2 || got["c attainment"] != 0.5 || got["wasted"] != 1 {
		t.Errorf("got ratios %v, want goodput 2, c attainment 0.5 and wasted 1", got)
	}
}
