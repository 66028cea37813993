package eventstream

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// follow takes in a response, and returns the verdicts on its blocks.
func follow(t *testing.T, p *Position, text string, maxBlock int) []Verdict {
	t.Helper()
	r := NewReader(strings.NewReader(text), Options{MaxBlock: maxBlock})
	f := p.Follow()
	var verdicts []Verdict
	for {
		b, err := r.Next()
		if err == nil {
			verdicts = append(verdicts, f.Take(b))
			continue
		}
		if cut, _ := r.Cut(); err != io.EOF {
			p.BrokeOff(cut)
		}
		return verdicts
	}
}

// TestPositionAfterResponses guards against events that a caller loses or gets twice because of what
// stood between them, or of the numbers that they have, and against servers that are told a wrong place.
func TestPositionAfterResponses(t *testing.T) {
	type step struct {
		response string
		verdicts []Verdict
	}
	for name, c := range map[string]struct {
		after   string
		steps   []step
		last    string
		unclear bool
	}{
		"id 0 after a comment":      {"", []step{{": c\n\nid: 0\ndata: a\n\n", []Verdict{Idle, New}}}, "0", false},
		"taken up after a comment":  {"3", []step{{": c\n\nid: 4\ndata: a\n\n", []Verdict{Idle, New}}}, "4", false},
		"taken up after id 0":       {"0", []step{{"id: 0\ndata: a\n\nid: 1\ndata: b\n\n", []Verdict{Unneeded, New}}}, "1", false},
		"ids with gaps":             {"", []step{{"id: 3\ndata: a\n\nid: 700\ndata: b\n\n", []Verdict{New, New}}}, "700", false},
		"an id as it was sent":      {"", []step{{"id: 007\ndata: a\n\n", []Verdict{New}}}, "007", false},
		"comments only":             {"", []step{{": c\n\n", []Verdict{Idle}}}, "", false},
		"goes on with a gap":        {"", []step{{"id: 3\ndata: a\n\n", []Verdict{New}}, {"id: 9\ndata: b\n\n", []Verdict{New}}}, "9", false},
		"goes on too early":         {"", []step{{"id: 3\ndata: a\n\n", []Verdict{New}}, {"id: 2\ndata: x\n\ndata: y\n\nid: 3\ndata: a\n\nid: 4\ndata: b\n\n", []Verdict{Unneeded, Unneeded, Unneeded, New}}}, "4", false},
		"an event is skipped":       {"", []step{{"id: 3\ndata: a\n\nid: 4\nda", []Verdict{New}}, {"id: 5\ndata: b\n\n", []Verdict{Skips}}}, "3", false},
		"the cut event comes":       {"", []step{{"id: 3\ndata: a\n\nid: 4\nda", []Verdict{New}}, {"id: 4\ndata: b\n\nid: 6\ndata: c\n\n", []Verdict{New, New}}}, "6", false},
		"events without a number":   {"", []step{{"data: a\n\n", []Verdict{New}}}, "", true},
		"one between numbers":       {"", []step{{"id: 1\ndata: a\n\ndata: b\n\n", []Verdict{New, New}}}, "1", true},
		"a number after it":         {"", []step{{"data: a\n\nid: 1\ndata: b\n\n", []Verdict{New, New}}}, "1", false},
		"goes on without numbers":   {"", []step{{"id: 1\ndata: a\n\n", []Verdict{New}}, {": c\n\nretry: 1\n\ndata: b\n\n", []Verdict{Idle, Unneeded, Foreign}}}, "1", false},
		"an id that is no number":   {"a", []step{{"id: b\ndata: x\n\n", []Verdict{New}}}, "a", true},
		"taken up without a number": {"a", []step{{": c\n\n", []Verdict{Idle}}}, "a", false},
	} {
		t.Run(name, func(t *testing.T) {
			p := After(c.after)
			for n, s := range c.steps {
				if diff := cmp.Diff(s.verdicts, follow(t, &p, s.response, testMaxBlock)); diff != "" {
					t.Errorf("response %d: verdicts (-want +got):\n%s", n, diff)
				}
			}
			if last, known := p.LastEventID(); last != c.last || known == c.unclear {
				t.Errorf("got the last id %q, known %v; want %q, %v", last, known, c.last, !c.unclear)
			}
		})
	}
}

// TestPositionInsideALargeEvent guards against a server that is told to go on inside an event of which the
// caller has a part.
func TestPositionInsideALargeEvent(t *testing.T) {
	large := strings.Repeat("x", 100)
	for text, want := range map[string]bool{
		"id: 1\ndata: " + large + "\n\n":              true,
		"data: " + large + "\nid: 1\n\n":              true,
		"id: 1\ndata: " + large:                       false,
		"id: 1\ndata: a\n\n: " + large:                false,
		"id: 1\ndata: a\n\n: " + large + "\n":         true,
		"id: 1\ndata: a\n\nother: " + large + "\n\n":  true,
		"id: 1\ndata: a\n\nother: " + large + "\n":    false,
		"id: 1\ndata: a\n\n: c\n\ndata: " + large[:9]: true,
	} {
		var p Position
		follow(t, &p, text, 40)
		if last, known := p.LastEventID(); known != want || known && last != "1" {
			t.Errorf("%q: got the last id %q, known %v; want known %v", text, last, known, want)
		}
	}
}
