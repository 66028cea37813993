package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// longClients read streams of longEvents events, one every longPause.
	longClients = 35
	longEvents  = 20
	longPause   = 50 * time.Millisecond
	// longLine is the length of the lines that are looked at. Streams with lines that are one byte
	// shorter and longer are sent beside, and only counted in the record.
	longLine = 2048
	// crashedFor is how long one replica of seven is away (srv_crash), and crashEvery the time
	// between two crashes.
	crashedFor = 4 * time.Second
	crashEvery = 6 * time.Second
	// entryLeft is how long its entry stays: three heartbeat intervals.
	entryLeft = 3600 * time.Millisecond
)

// longEvent is the event n of a stream. thing is ID-LENGTH. All but the last event have one data line
// with that length; what is left for the last one is shorter.
func longEvent(thing string, n, last int) string {
	length := 0
	_, _ = fmt.Sscanf(thing[strings.LastIndex(thing, "-")+1:], "%d", &length)
	line := fmt.Sprintf("data: %s part %d of %d ", thing, n, last)
	if n < last {
		line += strings.Repeat("=", length-len(line))
	}
	return fmt.Sprintf("id: %d\n%s\n\n", n, line)
}

// longStream is the whole text of a stream.
func longStream(thing string) string {
	var b strings.Builder
	for n := 1; n <= longEvents; n++ {
		b.WriteString(longEvent(thing, n, longEvents))
	}
	return b.String()
}

// longLines has replicas send streams in lines of a given length. One replica of seven at a time
// crashes, three times, and the streams go on at others.
func longLines(folder string, trouble bool) (int, error) {
	f, err := newFleet(7, 3)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return invalid, err
	}
	for _, r := range f.replicas {
		sendLongLines(r)
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return invalid, err
	}
	defer out.Close()
	l := &longLinesState{fleet: f, out: out, whole: map[int]int{}, wrong: map[int]int{}, cut: map[int]int{}}
	ctx, cancel := context.WithTimeout(context.Background(), 4*crashEvery)
	defer cancel()
	var all sync.WaitGroup
	for n := range longClients {
		all.Go(func() { l.client(ctx, f.fronts()[n%len(f.edges)]) })
	}
	for n := range 3 {
		time.Sleep(crashEvery - crashedFor)
		if trouble {
			l.crash(n)
		}
		time.Sleep(crashedFor)
		if trouble {
			if err := l.comeBack(n); err != nil {
				return invalid, err
			}
		}
	}
	all.Wait()
	for _, length := range []int{longLine - 1, longLine, longLine + 1} {
		l.note("lines of %d bytes: %d streams complete and right, %d complete and wrong, %d without their regular end", length, l.whole[length], l.wrong[length], l.cut[length])
	}
	if l.wrong[longLine] > 0 {
		return broken, nil
	}
	return held, nil
}

func sendLongLines(r *replica) {
	r.eventText = longEvent
	r.work = func() time.Duration { return longPause }
}

type longLinesState struct {
	fleet *fleet
	out   *os.File

	mu                sync.Mutex
	whole, wrong, cut map[int]int
}

func (l *longLinesState) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, time.Now().Format("05.000 ")+format+"\n", args...)
}

func (l *longLinesState) crash(n int) {
	r := l.fleet.replicas[n]
	r.crash()
	l.note("%s has crashed", r.id)
	time.AfterFunc(entryLeft, func() { l.fleet.store.remove("servers", r.id) })
}

// comeBack starts a replica in the place of a crashed one.
func (l *longLinesState) comeBack(n int) error {
	old := l.fleet.replicas[n]
	r, err := newReplica(fmt.Sprintf("i-%04d", 100+n), old.service, old.zone, l.fleet.ledger.record)
	if err != nil {
		return err
	}
	sendLongLines(r)
	l.fleet.replicas[n] = r
	l.fleet.store.put("servers", r.id, r.entry("ready"))
	l.note("%s has started in place of %s", r.id, old.id)
	return nil
}

func (l *longLinesState) client(ctx context.Context, front string) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		length := []int{longLine - 1, longLine, longLine, longLine + 1}[rand.IntN(4)]
		s := &sent{id: newID(), kind: "again", at: time.Now()}
		thing := fmt.Sprintf("%s-%d", s.id, length)
		s.target = fmt.Sprintf("/stream-again/x?thing=%s&events=%d", thing, longEvents)
		s.send(context.Background(), client, front, "key1", http.MethodPost, 10000, "")
		l.judge(s, thing, length)
	}
}

// judge counts a stream, and notes it if it is not whole or ran at several replicas.
func (l *longLinesState) judge(s *sent, thing string, length int) {
	l.fleet.ledger.mu.Lock()
	ran := replicasOf(l.fleet.ledger.runs[s.id])
	l.fleet.ledger.mu.Unlock()
	complete := s.complete && s.status == http.StatusOK
	right := s.text == longStream(thing)
	l.mu.Lock()
	counts := l.cut
	switch {
	case complete && right:
		counts = l.whole
	case complete:
		counts = l.wrong
	}
	counts[length]++
	l.mu.Unlock()
	if complete && right && !strings.Contains(ran, ",") {
		return
	}
	l.note("stream %s, lines of %d bytes: status %d, complete %v, right %v, why %q; ran at %s", s.id, length, s.status, complete, right, s.why, ran)
	if complete && !right {
		l.note("  as a client reads it: %s", joinedEvents(s.text))
	}
}

// joinedEvents lists the events of a stream that do not have one data line as a client of
// text/event-stream reads them: the id, and the data lines without their filling.
func joinedEvents(text string) string {
	var events []string
	for event := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		id, data := "none", []string{}
		for line := range strings.SplitSeq(event, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				id = value
			case "data":
				data = append(data, strings.TrimRight(strings.SplitN(value, " ", 2)[1], "= "))
			}
		}
		if len(data) != 1 {
			events = append(events, fmt.Sprintf("id %s: %s", id, strings.Join(data, " + ")))
		}
	}
	return strings.Join(events, "; ")
}
