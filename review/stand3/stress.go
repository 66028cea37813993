package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one attempt of a client.
type sent struct {
	id, kind, target, body string
	at                     time.Time
	status                 int
	stamp, text, why       string
	complete               bool
	gaveUp                 bool
}

type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
	sent []*sent
}

func (l *ledger) record(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *ledger) add(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%012x", lastID.Add(1)*7919+1<<40) }

// attempt sends one request and reads its answer.
func attempt(ctx context.Context, client *http.Client, front, key, kind string, events, bodyBytes, deadlineMs int) *sent {
	return resume(ctx, client, front, key, kind, events, bodyBytes, deadlineMs, "")
}

// resume is attempt, and takes a stream up after the event with the given id unless this is "".
func resume(ctx context.Context, client *http.Client, front, key, kind string, events, bodyBytes, deadlineMs int, after string) *sent {
	s := &sent{id: newID(), kind: kind, at: time.Now()}
	method := http.MethodPost
	switch kind {
	case "safe":
		method, s.target = http.MethodGet, "/safe/x?y="+s.id
	case "unsafe":
		s.target, s.body = "/unsafe/x", strings.Repeat(s.id+" ", bodyBytes/13+1)
	default:
		s.target = fmt.Sprintf("/stream-%s/x?thing=%s&events=%d", kind, s.id, events)
		s.body = strings.Repeat("p", 1000)
	}
	s.send(ctx, client, front, key, method, deadlineMs, after)
	return s
}

// attemptWith sends one unsafe request with the given body.
func attemptWith(ctx context.Context, client *http.Client, front, key, body string) *sent {
	s := &sent{id: newID(), kind: "unsafe", target: "/unsafe/x", body: body, at: time.Now()}
	s.send(ctx, client, front, key, http.MethodPost, 1500, "")
	return s
}

// send sends the request and reads its answer.
func (s *sent) send(ctx context.Context, client *http.Client, front, key, method string, deadlineMs int, after string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+s.target, strings.NewReader(s.body))
	if err != nil {
		panic(err)
	}
	req.Host = "h.example"
	req.Header.Set(headerID, s.id)
	req.Header.Set(headerKey, key)
	req.Header.Set(headerDeadline, fmt.Sprint(deadlineMs))
	if after != "" {
		req.Header.Set(headerLast, after)
	}
	resp, err := client.Do(req)
	if err != nil {
		s.why, s.gaveUp = err.Error(), ctx.Err() != nil
		return
	}
	defer resp.Body.Close()
	s.status, s.stamp = resp.StatusCode, resp.Header.Get(headerStamp)
	text, err := io.ReadAll(resp.Body)
	s.text, s.complete = string(text), err == nil
	if err != nil {
		s.why, s.gaveUp = err.Error(), ctx.Err() != nil
	}
	if id := resp.Header.Get(headerID); id != s.id && id != "" {
		s.why = "ANOTHER ID " + id
	}
}

// check returns what breaks a rule.
func (l *ledger) check(firstEvent int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	add := func(rule string, s *sent, detail string) {
		broken = append(broken, fmt.Sprintf("%s: request %s (%s) status %d complete %v why %q: %s", rule, s.id, s.kind, s.status, s.complete, s.why, detail))
	}
	known := map[string]*sent{}
	for _, s := range l.sent {
		known[s.id] = s
		runs := l.runs[s.id]
		once := s.kind == "unsafe" || s.kind == "once"
		if once && len(runs) > 1 {
			add("TWICE", s, replicasOf(runs))
		}
		if once && len(runs) > 0 && (s.status == 429 || s.status == 503 || s.status == 408 || s.status == 421) {
			add("REFUSED", s, replicasOf(runs))
		}
		if strings.HasPrefix(s.why, "ANOTHER ID") || strings.Contains(s.why, "malformed") {
			add("MIXED", s, s.text)
		}
		if s.status == 200 && s.complete {
			l.checkSuccess(s, runs, firstEvent, add)
		}
	}
	for id, runs := range l.runs {
		s := known[id]
		if s == nil {
			broken = append(broken, "UNASKED: "+id)
			continue
		}
		for _, r := range runs {
			if !strings.HasSuffix(r.target, " "+s.target) || r.body != s.body || r.key != "" || r.tenant != "t1" {
				add("UNASKED", s, fmt.Sprintf("%s %d bytes, tenant %s key %s", r.target, len(r.body), r.tenant, r.key))
			}
		}
	}
	return broken
}

func (l *ledger) checkSuccess(s *sent, runs []run, firstEvent int, add func(rule string, s *sent, detail string)) {
	if s.stamp == "" || len(runs) == 0 {
		add("MIXED", s, "success without stamp or run")
	}
	if s.kind == "safe" || s.kind == "unsafe" {
		for _, r := range runs {
			if s.text == wholeBody(s.id, r.replica) {
				return
			}
		}
		add("MIXED", s, s.text)
		return
	}
	ids, rest := eventsOf([]byte(s.text))
	count := 0
	if _, err := fmt.Sscanf(s.target[strings.LastIndex(s.target, "=")+1:], "%d", &count); err != nil {
		panic(err)
	}
	good := len(ids) == count && len(rest) == count
	for n := 0; good && n < count; n++ {
		good = ids[n] == firstEvent+n && strings.HasPrefix(string(rest[n]), fmt.Sprintf("data: %s event %d of", s.id, firstEvent+n))
	}
	if !good {
		add("ORDER", s, fmt.Sprintf("%d events asked, ids %v", count, ids))
	}
}

// load sends requests until ctx ends.
func (l *ledger) load(ctx context.Context, fronts []string, key string, clients int, giveUp float64) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				kind := []string{"safe", "unsafe", "unsafe", "again", "once"}[rand.IntN(5)]
				bodyBytes := []int{100, 600, 20 << 10, 90 << 10}[rand.IntN(4)]
				deadline := []int{300, 1000, 3000}[rand.IntN(3)]
				reqCtx, cancel := context.WithTimeout(context.Background(), time.Duration(deadline+300)*time.Millisecond)
				if chance(giveUp) {
					time.AfterFunc(time.Duration(rand.IntN(60))*time.Millisecond, cancel)
				}
				l.add(attempt(reqCtx, client, fronts[rand.IntN(len(fronts))], key, kind, 1+rand.IntN(12), bodyBytes, deadline))
				cancel()
			}
		})
	}
	all.Wait()
}

// replicasOf names the replicas that ran a request, and when.
func replicasOf(runs []run) string {
	var names []string
	for _, r := range runs {
		names = append(names, r.replica+" at "+r.at.Format("05.000"))
	}
	return strings.Join(names, ", ")
}

// write lists what was sent, answered and run.
func (l *ledger) write(out io.Writer) {
	for _, s := range l.sent {
		ids, _ := eventsOf([]byte(s.text))
		fmt.Fprintf(out, "%s %s sent %s status %d complete %v events %v ran at %s\n", s.id, s.kind, s.at.Format("05.000"), s.status, s.complete, ids, replicasOf(l.runs[s.id]))
	}
}
