package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// greyShare is the part of its requests that a grey replica fails (srv_grey, x = 0.45),
	// greyFor how long it does so, and greyTimes how many replicas do so, one after the other.
	greyShare = 0.45
	greyFor   = 6 * time.Second
	greyTimes = 3
)

// ownFailure sends unsafe requests. Three times one replica of seven is grey: it runs a part of them
// and then answers 503 itself, without stating that it did not run them. A client that is told 503 sends its
// order again, once, as the pages say.
func ownFailure(folder string, trouble bool) (int, error) {
	f, err := newFleet(7, 3)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return invalid, err
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return invalid, err
	}
	defer out.Close()
	for n := range greyTimes {
		if !trouble {
			break
		}
		time.AfterFunc(time.Duration(n)*(greyFor+2*time.Second)+2*time.Second, func() {
			grey := f.mostUsed()
			grey.setTroubles(troubles{own503: greyShare})
			time.AfterFunc(greyFor, func() { grey.setTroubles(troubles{}) })
		})
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	orders, refusedAndRan := 0, 0
	doubled := map[string]int{}
	end := time.Now().Add(27 * time.Second)
	for n := range 30 {
		all.Go(func() {
			client := &http.Client{}
			defer client.CloseIdleConnections()
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				order := fmt.Sprintf("order-%d-%d", n, k)
				front := f.fronts()[(n+k)%len(f.edges)]
				var tries []*sent
				for range 2 {
					s := f.order(client, front, order)
					tries = append(tries, s)
					if s.status != http.StatusServiceUnavailable && s.status != http.StatusTooManyRequests {
						break
					}
				}
				mu.Lock()
				orders++
				ran := 0
				for _, s := range tries {
					runs := f.ledger.of(s.id)
					ran += len(runs)
					if s.status == http.StatusServiceUnavailable && len(runs) > 0 {
						refusedAndRan++
					}
					if len(tries) > 1 {
						fmt.Fprintf(out, "%s sent %s as %s: status %d, stamp %q, %q; ran at %s\n", order, s.at.Format("05.000"), s.id, s.status, s.stamp, strings.TrimSpace(s.text), replicasOf(runs))
					}
				}
				if ran > 1 {
					doubled[order] = ran
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	fmt.Fprintln(out, "runs by replica", f.ledger.byReplica())
	fmt.Fprintf(out, "%d orders; %d requests were answered 503 and had run; %d orders ran twice\n", orders, refusedAndRan, len(doubled))
	if refusedAndRan > 0 {
		return broken, nil
	}
	return held, nil
}

// order sends one unsafe request with the order as its body.
func (f *fleet) order(client *http.Client, front, order string) *sent {
	s := attemptWith(context.Background(), client, front, "key1", order)
	f.ledger.add(s)
	return s
}

// mostUsed returns the replica that ran most requests so far. At a light load some get none.
func (f *fleet) mostUsed() *replica {
	counts := f.ledger.byReplica()
	return slices.MaxFunc(f.replicas, func(a, b *replica) int { return counts[a.id] - counts[b.id] })
}

func (l *ledger) byReplica() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, runs := range l.runs {
		for _, r := range runs {
			counts[r.replica]++
		}
	}
	return counts
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}
