package usage

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/edge/duty"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

// link is an instance's way to the platform. It is its lease.Store, PlanStore, API and Terms.
type link struct {
	host     *host
	instance *instance
}

// pause stops the process for a while, as a call or a check has just been made.
func (l *link) pause() {
	w := l.host.world
	if !w.chance(0.02) {
		return
	}
	begin := time.Now()
	time.Sleep(w.upTo(8 * time.Second))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("machine %d was paused from %s", l.host.machine, begin.Format("05.000"))
	l.host.thaws = append(l.host.thaws, time.Now())
}

func (l *link) Term(now time.Time) (duty.Term, bool) {
	t, held := l.instance.holder.Term(now)
	l.pause() // between the check and the call
	return t, held
}

func (l *link) reach() error {
	w := l.host.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || l.host.cut || l.instance.killed {
		return objects.ErrUnavailable
	}
	return nil
}

func (l *link) get(name string) (api.Object, error) {
	if err := l.reach(); err != nil {
		return api.Object{}, err
	}
	time.Sleep(4 * time.Millisecond)
	l.pause()
	w := l.host.world
	w.mu.Lock()
	defer w.mu.Unlock()
	obj, ok := w.stored[name]
	if !ok {
		return obj, objects.ErrNotFound
	}
	return obj, nil
}

// put writes an object. The write may be done later, or its answer be lost.
func (l *link) put(obj api.Object) (api.Object, error) {
	if err := l.reach(); err != nil {
		return api.Object{}, err
	}
	time.Sleep(4 * time.Millisecond)
	w := l.host.world
	if w.chance(0.05) {
		time.AfterFunc(w.upTo(6*time.Second), func() { _, _ = w.apply(obj) })
		return api.Object{}, objects.ErrUncertain
	}
	stored, err := w.apply(obj)
	l.pause()
	if w.chance(0.05) {
		return api.Object{}, objects.ErrUncertain
	}
	return stored, err
}

func (w *world) apply(obj api.Object) (api.Object, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current, exists := w.stored[obj.Name]
	if exists != (obj.Version != 0) || current.Version != obj.Version {
		return api.Object{}, &objects.ConflictError{Current: &current}
	}
	if reflect.DeepEqual(current.Spec, obj.Spec) {
		return current, nil
	}
	w.revision++
	w.note("%d was %s %s, is %s", w.revision, current.Name, current.Spec, obj.Spec)
	obj.Version, obj.SpecVersion = w.revision, w.revision
	w.stored[obj.Name] = obj
	return obj, nil
}

func (l *link) Get(_ context.Context, _ api.Kind, name string) (api.Object, error) {
	return l.get(name)
}
func (l *link) Create(_ context.Context, obj api.Object) (api.Object, error) { return l.put(obj) }
func (l *link) Update(_ context.Context, obj api.Object) (api.Object, error) { return l.put(obj) }

func (l *link) ReadPlans(context.Context) (p platform.UsagePlans, v objects.Version, err error) {
	obj, err := l.get("usage")
	if err == objects.ErrNotFound {
		return p, v, nil
	}
	if err == nil {
		err = json.Unmarshal(obj.Spec, &p)
	}
	return p, objects.Version{Revision: obj.Version}, err
}

func (l *link) WritePlans(_ context.Context, p platform.UsagePlans, v objects.Version) (objects.Version, error) {
	spec, err := json.Marshal(p)
	if err != nil {
		return v, err
	}
	obj, err := l.put(api.Object{Name: "usage", Version: v.Revision, Spec: spec})
	return objects.Version{Revision: obj.Version}, err
}

func (l *link) ReportUsage(ctx context.Context, c platform.DutyCall, number int64, counts map[string]int64) error {
	w := l.host.world
	sentAt := time.Now()
	delay := 3 * time.Millisecond
	if w.chance(0.1) {
		delay = w.upTo(2 * time.Second)
	}
	select {
	case <-ctx.Done():
		return platform.ErrDutyUncertain
	case <-time.After(delay):
	}
	w.mu.Lock()
	gone := w.apiDown || l.instance.killed
	if !gone {
		w.check(l.host, sentAt, c.FencingToken, number, counts)
	}
	w.mu.Unlock()
	if gone || w.chance(0.1) {
		return platform.ErrDutyUncertain
	}
	return nil
}

// thawed reports whether a call was sent at the end of a pause, or arrived shortly after one.
func (h *host) thawed(sentAt, now time.Time) bool {
	return slices.ContainsFunc(h.thaws, sentAt.Equal) || len(h.thaws) > 0 && now.Sub(h.thaws[len(h.thaws)-1]) <= thawTime
}

// check checks the rules on a call that arrives. One that was sent as soon as its process went on
// after a pause is pardoned, since no check could come in between, and so is one that arrives
// shortly after.
func (w *world) check(h *host, sentAt time.Time, token, number int64, counts map[string]int64) {
	now := time.Now()
	w.note("machine %d sends window %d with token %d, sent at %s", h.machine, number, token, sentAt.Format("05.000"))
	if first, known := w.reports[number]; known && !reflect.DeepEqual(first, counts) {
		w.t.Errorf("window %d is reported as %v, and again as %v", number, first, counts)
	} else if !known {
		w.reports[number], w.reported[number] = counts, now
	}
	if machine, known := w.byToken[token]; known && machine != h.machine {
		w.t.Errorf("machines %d and %d both send the token %d", machine, h.machine, token)
	}
	w.byToken[token] = h.machine
	if h.thawed(sentAt, now) {
		return
	}
	if token < w.newest {
		w.t.Errorf("machine %d sends the token %d after %d", h.machine, token, w.newest)
	}
	w.newest = max(w.newest, token)
	between := false
	for n := len(w.acts) - 1; n >= 0 && now.Sub(w.acts[n].at) < leaseTime; n-- {
		same := w.acts[n].machine == h.machine
		if same && between {
			w.t.Errorf("machine %d acts again %v after another one", h.machine, now.Sub(w.acts[n].at))
		}
		between = between || !same
	}
	w.acts = append(w.acts, act{h.machine, now})
}
