package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

func TestStreamIsPassedEventByEvent(t *testing.T) {
	f := newFleet(t, 1)
	f.behave(platformtest.Behaviour{Events: 4, EventPause: 100 * time.Millisecond})
	resp, err := http.DefaultClient.Do(f.request(pathStream))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	began := time.Now()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || lines.Text() != "id: 1" {
		t.Fatalf("got %q", lines.Text())
	}
	if took := time.Since(began); took > 90*time.Millisecond {
		t.Errorf("the first event came after %v, with the next one", took)
	}
	rest := 0
	for lines.Scan() {
		rest++
	}
	if rest != 3*4-1 || lines.Err() != nil {
		t.Errorf("%d lines more, %v", rest, lines.Err())
	}
}

// events is the whole answer of a stream whose numbers are these servers'.
func events(servers ...string) string {
	var b strings.Builder
	for n, id := range servers {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1)
	}
	return b.String()
}

func TestStreamGoesOnAtAnotherServer(t *testing.T) {
	f := newFleet(t, 2)
	f.behave(platformtest.Behaviour{Events: 5, BreakAfter: 2})
	first := f.do(f.request(pathResumable))
	if first.err == nil {
		t.Errorf("a stream that never ended looks complete: %q", first.body)
	}
	f = newFleet(t, 2)
	f.replicas[0].SetBehaviour(platformtest.Behaviour{Events: 5, BreakAfter: 2})
	f.replicas[1].SetBehaviour(platformtest.Behaviour{Events: 5})
	resumed := false
	for range 6 {
		got := f.do(f.request(pathResumable))
		f.expectStatus(got, 200)
		switch got.body {
		case events("i-1", "i-1", "i-1", "i-1", "i-1"):
		case events("i-0", "i-0", "i-1", "i-1", "i-1"):
			resumed = true
			if got.header.Get(platform.HeaderServerStamp) != "stamp-i-0" {
				t.Errorf("the answer bears %q", got.header.Get(platform.HeaderServerStamp))
			}
		default:
			t.Errorf("got %q", got.body)
		}
	}
	if !resumed {
		t.Error("no stream went on at another server")
	}
}

func TestStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	f := newFleet(t, 2)
	f.behave(platformtest.Behaviour{Events: 5, BreakAfter: 2})
	got := f.do(f.request(pathStream))
	if got.err == nil {
		t.Errorf("it looks complete: %q", got.body)
	}
	if got.body != events(f.ran()[0], f.ran()[0]) {
		t.Errorf("got %q: no half event may go out", got.body)
	}
	if n := len(f.ran()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestLeavingCallerStopsTheWork(t *testing.T) {
	for name, b := range map[string]platformtest.Behaviour{
		"before the answer": {Hang: true},
		"inside a stream":   {Events: 1000, EventPause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.behave(b)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			got := f.do(f.request(pathStream).WithContext(ctx))
			if got.err == nil {
				t.Fatalf("got %+v", got)
			}
			left := time.Now()
			for f.replicas[0].Cancelled() == 0 && time.Since(left) < 2*time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(left); took > 400*time.Millisecond {
				t.Errorf("the server worked on for %v", took)
			}
		})
	}
}

// TestAnswerComesByTheRoutesTime has a server work longer than the route
// allows, with and without a begun stream.
func TestAnswerComesByTheRoutesTime(t *testing.T) {
	for name, b := range map[string]platformtest.Behaviour{
		"nothing": {Hang: true}, "stream": {Events: 100, EventPause: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.behave(b)
			began := time.Now()
			got := f.do(f.request(pathStream))
			if took := time.Since(began); took > 1900*time.Millisecond {
				t.Errorf("took %v, the route allows 1.5 s", took)
			}
			if got.err == nil && got.status != 504 {
				t.Errorf("got %+v", got)
			}
		})
	}
}
