package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// takeUpClients is the number of clients, each with a kept connection to every instance.
	takeUpClients = 42
	takeUpEvents  = 40
	// cachedPrompt and uncachedPrompt are how long a replica takes for the first event if it
	// keeps the prompt, and if it must read it first. A stream that is taken up comes to another
	// replica than before, as a rule.
	cachedPrompt   = 100 * time.Millisecond
	uncachedPrompt = 700 * time.Millisecond
	// lostBound is the number of requests that may be lost so: "more than three times".
	lostBound = 3
)

// takeUp kills one instance of seven, three times, while clients read streams that may be resumed.
// The clients take their streams up at another instance, over connections that they have kept.
func takeUp(folder string, trouble bool) (int, error) {
	f, err := newFleet(6, 7)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return invalid, err
	}
	for _, r := range f.replicas {
		r.work = func() time.Duration { return 50 * time.Millisecond }
		r.beforeResumed = func(writeComment func()) time.Duration {
			time.Sleep(commentAfter)
			writeComment()
			return uncachedPrompt - commentAfter
		}
		r.beforeFirst = func(func()) time.Duration { return cachedPrompt }
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return invalid, err
	}
	defer out.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 22*time.Second)
	defer cancel()
	c := &takeUpClientsState{fleet: f, out: out}
	var all sync.WaitGroup
	for range takeUpClients {
		all.Go(func() { c.client(ctx) })
	}
	for n := range 3 {
		time.Sleep(5 * time.Second)
		if !trouble {
			continue
		}
		e := f.edges[n*2]
		c.note("killed %s", e.name)
		e.signal(syscall.SIGKILL)
		e.kill()
		time.Sleep(500 * time.Millisecond)
		if err := e.start(); err != nil {
			return invalid, err
		}
	}
	all.Wait()
	c.note("%d streams whole at once, %d cut by a kill and taken up; of these %d went on, %d were passed on to a sound replica and cut without an event", c.whole, c.taken, c.wentOn, c.lost)
	if c.lost > lostBound {
		return broken, nil
	}
	return held, nil
}

type takeUpClientsState struct {
	fleet *fleet
	out   *os.File

	mu                         sync.Mutex
	whole, taken, wentOn, lost int
}

func (c *takeUpClientsState) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, time.Now().Format("05.000 ")+format+"\n", args...)
}

func (c *takeUpClientsState) client(ctx context.Context) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	fronts := c.fleet.fronts()
	warm := func() {
		for _, front := range fronts {
			attempt(context.Background(), client, front, "key1", "safe", 0, 0, 1000)
		}
	}
	warm()
	for n := rand.IntN(len(fronts)); ctx.Err() == nil; n++ {
		front := fronts[n%len(fronts)]
		s := attempt(context.Background(), client, front, "key1", "again", takeUpEvents, 0, 10000)
		ids, _ := eventsOf([]byte(s.text))
		if s.complete && s.status == http.StatusOK {
			c.mu.Lock()
			c.whole++
			c.mu.Unlock()
			continue
		}
		if len(ids) == 0 {
			time.Sleep(300 * time.Millisecond)
			warm()
			continue
		}
		c.resumeAt(client, fronts[(n+1)%len(fronts)], ids[len(ids)-1], s)
	}
}

// resumeAt takes a cut stream up at another instance.
func (c *takeUpClientsState) resumeAt(client *http.Client, front string, last int, cut *sent) {
	s := resume(context.Background(), client, front, "key1", "again", takeUpEvents, 0, 8000, fmt.Sprint(last))
	ids, _ := eventsOf([]byte(s.text))
	c.fleet.ledger.mu.Lock()
	runs := c.fleet.ledger.runs[s.id]
	c.fleet.ledger.mu.Unlock()
	c.mu.Lock()
	c.taken++
	switch {
	case s.complete && s.status == http.StatusOK && len(ids) == takeUpEvents-last:
		c.wentOn++
	case len(runs) > 0 && len(ids) == 0 && !s.complete:
		c.lost++
	}
	c.mu.Unlock()
	c.note("stream %s cut after event %d (%s), taken up as %s at %s: status %d, complete %v, events %v, %q; ran at %s",
		cut.id, last, cut.why, s.id, front, s.status, s.complete, ids, s.why, replicasOf(runs))
}
