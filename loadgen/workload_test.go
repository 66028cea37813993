package loadgen

import (
	"bytes"
	"encoding/xml"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/engineapi"
)

// TestPresetsAreValidResources checks that the platform would accept the
// resources of each preset workload.
func TestPresetsAreValidResources(t *testing.T) {
	for _, w := range []Workload{CovorulDreptWorkload(0), CovorulDreptWorkload(-1), AgendaAndinaWorkload(), AgendaAndinaWorkload().Shorten(10)} {
		for _, obj := range w.Objects() {
			if err := api.Validate(obj); err != nil {
				t.Errorf("workload %s: resource %s %s is not valid: %v", w.Name, obj.Kind, obj.Name, err)
			}
		}
	}
}

// TestArrivalsFollowTheRateAndItsBursts checks the number of arrivals before,
// during and after a burst of five times the rate.
func TestArrivalsFollowTheRateAndItsBursts(t *testing.T) {
	class := Class{Rate: 20, Bursts: []Burst{{Start: 100 * time.Second, Duration: 100 * time.Second, Factor: 5}}}
	random := rand.New(rand.NewPCG(1, 1))
	end := 300 * time.Second
	var counts [3]int
	for at := class.nextArrival(random, 0, end); at < end; at = class.nextArrival(random, at, end) {
		counts[at/(100*time.Second)]++
	}
	for i, want := range [3]float64{2000, 10_000, 2000} {
		if got := float64(counts[i]); math.Abs(got-want) > 0.1*want {
			t.Errorf("got %v arrivals in interval %d of 100 s, want %v within a tenth", got, i, want)
		}
	}
}

// TestScaleToReachesTheTokenRate checks that the scaled workload asks for the
// given number of answer tokens per second.
func TestScaleToReachesTheTokenRate(t *testing.T) {
	if got := CovorulDreptWorkload(-1).ScaleTo(5000).AnswerTokensPerSecond(); math.Abs(got-5000) > 1 {
		t.Errorf("scaled workload asks for %v tokens per second, want 5000 within 1", got)
	}
}

// TestPromptsHaveTheRequestedLengths checks that prompts and prefixes have the
// length in tokens that the class demands.
func TestPromptsHaveTheRequestedLengths(t *testing.T) {
	class := CovorulDreptWorkload(-1).Classes[1]
	class.PromptLengths = LengthDistribution{Median: 100}
	w := CovorulDreptWorkload(-1)
	q := newRequest(&class, &w, "id", 0, rand.New(rand.NewPCG(1, 1)))
	if got, want := q.promptTokens, class.PrefixTokens+100; got != want || q.prefixTokens != class.PrefixTokens {
		t.Errorf("the prompt has %d tokens and its prefix %d, want %d tokens and a prefix of the class's PrefixTokens", got, q.prefixTokens, want)
	}
	if got := engineapi.EstimateTokens(len(paddedText("id", 7))); got != 7 {
		t.Errorf("paddedText returned a text of %d tokens, want 7", got)
	}
}

// TestPlotIsWellFormed checks that the plot is valid XML and leaves out the
// class without streamed responses.
func TestPlotIsWellFormed(t *testing.T) {
	got := runInVirtualTime(t, Options{Workload: smallWorkload(), Duration: 2 * time.Second, Seed: 1}, nil)
	var out bytes.Buffer
	if err := got.WriteSVG(&out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte(">draft</text>")) || bytes.Contains(out.Bytes(), []byte(">order</text>")) {
		t.Error("want a plot with class draft and without class order, since class order has no streamed responses")
	}
	for in := xml.NewDecoder(&out); ; {
		if _, err := in.Token(); err == io.EOF {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
