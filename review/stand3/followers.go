package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drainBound is drain_ms of the small deployments.
	drainBound = 2 * time.Second
	// followerRounds is how often the case is played, each time with new processes.
	followerRounds = 6
)

// followers drains a replica just after the two instances that follow the store have heard from it,
// and then loses these two instances for good. The others must stop to send to the replica within
// drain_ms of the store's acknowledgement.
func followers(folder string, trouble bool) (int, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return invalid, err
	}
	defer out.Close()
	late := 0
	for round := range followerRounds {
		n, err := followersRound(out, round, trouble)
		if err != nil {
			return invalid, err
		}
		late += n
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// followersRound returns how many requests reached the replica too late.
func followersRound(out *os.File, round int, trouble bool) (int, error) {
	f, err := newFleet(4, 5)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return 0, err
	}
	// The two instances with the lowest hashes of their names follow the store.
	order := slices.SortedFunc(slices.Values(f.edges), func(a, b *edge) int { return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)) })
	two, others := order[:2], order[2:]
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	for _, e := range others {
		for range 6 {
			all.Go(func() {
				client := &http.Client{}
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					f.ledger.add(attempt(context.Background(), client, e.frontend(), "key1", "safe", 0, 0, 1000))
				}
			})
		}
	}
	f.store.awaitPolls(2)
	leaving := f.replicas[round%len(f.replicas)]
	f.store.put("servers", leaving.id, leaving.entry("draining"))
	acked := time.Now()
	time.Sleep(100 * time.Millisecond)
	if trouble {
		for _, e := range two {
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(3*time.Second - time.Since(acked))
	cancel()
	all.Wait()
	last, late := f.arrivals(leaving.id, acked)
	fmt.Fprintf(out, "round %d: %d requests sent to %d instances; %s draining, acknowledged at %s; last request reached it %d ms later; %d of them after %d ms\n",
		round, len(f.ledger.sent), len(others), leaving.id, acked.Format("05.000"), last.Milliseconds(), late, drainBound.Milliseconds())
	return late, nil
}

// arrivals returns how long after a time the last request reached a replica, and how many came
// after drainBound.
func (f *fleet) arrivals(replica string, since time.Time) (last time.Duration, late int) {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	for _, runs := range f.ledger.runs {
		for _, r := range runs {
			if r.replica != replica {
				continue
			}
			last = max(last, r.at.Sub(since))
			if r.at.Sub(since) > drainBound {
				late++
			}
		}
	}
	return last, late
}
