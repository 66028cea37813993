package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstEventAfter is how long a sound replica takes for the first event of a stream, and
	// slowFactor how many times as long a slow one takes (srv_slow, x = 4).
	firstEventAfter = 150 * time.Millisecond
	slowFactor      = 4
	// slowFor is how long the replica is slow.
	slowFor = 6 * time.Second
	// commentAfter is how long a replica is silent before it sends a comment line, as servers of
	// text/event-stream do so that nobody between takes the connection for a broken one.
	commentAfter = 400 * time.Millisecond
)

// comment sends streams. For slowFor one replica of seven is slow: it sends a comment line before the
// first event of a stream, whose id is 0.
func comment(folder string, trouble bool) (int, error) {
	f, err := newFleet(7, 3)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return invalid, err
	}
	var slow atomic.Bool
	for n, r := range f.replicas {
		r.firstEvent = 0
		r.beforeFirst = func(writeComment func()) time.Duration {
			if n > 0 || !slow.Load() {
				return firstEventAfter
			}
			time.Sleep(commentAfter)
			writeComment()
			return slowFactor*firstEventAfter - commentAfter
		}
	}
	var all sync.WaitGroup
	fronts := f.fronts()
	end := time.Now().Add(15 * time.Second)
	if trouble {
		time.AfterFunc(3*time.Second, func() { slow.Store(true) })
		time.AfterFunc(3*time.Second+slowFor, func() { slow.Store(false) })
	}
	for n := range 12 {
		all.Go(func() {
			client := &http.Client{}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
				kind := []string{"once", "again"}[rand.IntN(2)]
				f.ledger.add(attempt(ctx, client, fronts[n%len(fronts)], "key1", kind, 8, 0, 10000))
				cancel()
			}
		})
	}
	all.Wait()
	code, err := f.report(folder, 0)
	if err == nil && trouble {
		slow.Store(true)
		err = f.resumeStreams(folder)
	}
	return code, err
}

// resumeStreams has clients take up streams after event 3 while the replica is slow, and adds to the
// record what became of them. The exit code does not depend on it.
func (f *fleet) resumeStreams(folder string) error {
	out, err := os.OpenFile(filepath.Join(folder, "record.txt"), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	whole, brokenOff := 0, 0
	for range 40 {
		s := resume(context.Background(), client, f.fronts()[0], "key1", "again", 8, 0, 10000, "3")
		ids, _ := eventsOf([]byte(s.text))
		if s.complete && len(ids) == 4 {
			whole++
			continue
		}
		brokenOff++
		fmt.Fprintf(out, "taken up after event 3: %s status %d complete %v events %v ran at %s\n", s.id, s.status, s.complete, ids, replicasOf(f.ledger.runs[s.id]))
	}
	fmt.Fprintf(out, "taken up after event 3: %d whole, %d broken off\n", whole, brokenOff)
	return nil
}
