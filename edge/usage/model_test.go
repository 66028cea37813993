package usage

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/edge/duty"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

// modelSeeds is how many random runs the model makes: go test ./edge/usage -run Model -seeds 5000.
var modelSeeds = flag.Uint64("seeds", 25, "random runs of the model")

// Figures of the deployment that the model plays.
const (
	machines  = 7
	window    = 5 * time.Second
	due       = 10 * time.Second
	leaseTime = 3 * time.Second
	thawTime  = 300 * time.Millisecond
	troubled  = 60 * time.Second
	calm      = 45 * time.Second
	datagram  = 100 * time.Millisecond
	// usageError is the part by which a count may be off.
	usageError = 0.05
)

// world is the platform, and the instances on its machines, in virtual time.
type world struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	// troubles is set while faults come.
	troubles bool
	down     bool // the store, for all
	apiDown  bool
	revision int64
	// trace says what happened, for the case that the test fails.
	trace  []string
	stored map[string]api.Object
	// What the API has seen.
	reports  map[int64]map[string]int64
	reported map[int64]time.Time
	byToken  map[int64]int
	newest   int64
	acts     []act
	truth    map[int64]map[string]int64
	hosts    [machines]*host
}

// act is a call that arrived from a machine.
type act struct {
	machine int
	at      time.Time
}

// host is a machine, with the instance that runs there now.
type host struct {
	world   *world
	machine int
	// cut is set if the store turns this machine away. step is how wrong its time of day is.
	cut      bool
	step     time.Duration
	thawedAt time.Time
	*instance
}

type instance struct {
	killed   bool
	stop     context.CancelFunc
	done     sync.WaitGroup
	name     string
	started  time.Time
	clock    *Clock
	accounts *Accounts
	holder   *duty.Holder
}

// note adds to the trace. The caller holds the lock.
func (w *world) note(format string, args ...any) {
	text := time.Now().Format("05.000 ") + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, text)
}

// chance reports true with a probability, and only while there are troubles.
func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.troubles && w.random.Float64() < p
}

// lost reports whether a datagram is lost.
func (w *world) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < 0.2
}

func (w *world) upTo(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(most)))
}

// start starts a new process on the machine.
func (h *host) start() {
	w := h.world
	now := time.Now()
	i := &instance{name: fmt.Sprintf("i%d", h.machine), started: now}
	i.clock = NewClock(func() time.Duration { return 0 }, now)
	i.clock.timeOfDay = func(now time.Time) time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		return unixTime(now) + h.step
	}
	i.accounts = NewAccounts(AccountsOptions{Name: i.name, Address: address(h.machine), Started: now, Clock: i.clock, Window: window})
	link := &link{host: h, instance: i}
	guard := duty.NewGuard(duty.GuardOptions{Terms: func() duty.Terms { return link }, Name: i.name, CallsPerSecond: 50, LeaseTime: leaseTime})
	i.holder = duty.NewHolder(duty.HolderOptions{
		Store: link, Process: fmt.Sprint(i.name, ".", now.UnixNano()), Machine: i.name, LeaseTime: leaseTime,
		Candidate: func() bool { return h.machine%2 == 0 || w.chance(0.1) },
		Suspended: func() time.Duration { return 0 }, Quiet: guard.Quiet,
	})
	reporter := NewReporter(ReporterOptions{
		Accounts: i.accounts, Clock: i.clock, Store: link, API: link, Guard: guard, Terms: i.holder, Window: window, Due: due, PermittedError: usageError,
		Live: w.live, Organisations: func() []string { return []string{"a", "b", "c"} },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	w.set(func() { h.instance = i })
	i.done.Go(func() { i.holder.Run(ctx) })
	i.done.Go(func() { reporter.Run(ctx) })
	i.done.Go(func() { h.work(ctx, i) })
}

// current returns the instance that runs on the machine now, or ran there last.
func (h *host) current() *instance {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.instance
}

func address(machine int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(machine)}), 7000)
}

func (w *world) live() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, h := range w.hosts {
		if h.instance != nil && !h.killed {
			names = append(names, h.name)
		}
	}
	return names
}

// work has requests begin on the instance, and passes on what it states to its peers.
func (h *host) work(ctx context.Context, i *instance) {
	w := h.world
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(datagram)
		w.mu.Lock()
		if i.killed {
			w.mu.Unlock()
			return
		}
		org := string(rune('a' + w.random.IntN(3)))
		number := int64(time.Duration(time.Now().UnixNano()) / window)
		if w.truth[number] == nil {
			w.truth[number] = make(map[string]int64)
		}
		w.truth[number][org]++
		w.mu.Unlock()
		i.accounts.Count(org)
		h.sendNotice(i)
		if round%5 == 0 {
			h.sendSums(i, false)
		}
	}
	h.sendSums(i, true)
}

func (h *host) sendNotice(i *instance) {
	n := i.accounts.Notice(time.Now())
	for _, to := range h.world.hosts {
		if to != h && !h.world.lost() {
			to.current().accounts.ReceiveNotice(i.name, n, time.Now())
		}
	}
}

// getsSums reports whether a machine gets the sums of others: the holder's, and three others.
func (h *host) getsSums(i *instance) bool {
	return h.machine%2 == 1 || address(h.machine) == i.accounts.Holder()
}

// sendSums sends the sums, some of them not at all, or twice.
func (h *host) sendSums(i *instance, final bool) {
	now := time.Now()
	for _, m := range i.accounts.OwnSums(now, final) {
		for _, to := range h.world.hosts {
			for times := 0; to != h && to.getsSums(i) && times < 2; times++ {
				if !h.world.lost() {
					to.current().accounts.ReceiveSums(i.name, m.Sums, now)
				}
			}
		}
	}
	for _, m := range i.accounts.SilentSums(now) {
		for _, to := range h.world.hosts {
			if address(to.machine) == i.accounts.Holder() && to != h {
				to.current().accounts.ReceiveSums(i.name, m.Sums, now)
			}
		}
	}
}

// kill ends the process: nothing that it does arrives any more.
func (h *host) kill() {
	i := h.current()
	h.world.set(func() { i.killed = true })
	i.stop()
}

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
	l.host.thawedAt = time.Now()
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
	if now.Sub(h.thawedAt) <= thawTime || sentAt.Equal(h.thawedAt) {
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

// disturb does something bad, or ends it.
func (w *world) disturb() {
	h := w.hosts[w.upTo(machines)]
	kind := w.upTo(8)
	w.set(func() { w.note("disturbance %d at machine %d", kind, h.machine) })
	switch kind {
	case 0, 1:
		h.kill()
		time.Sleep(w.upTo(3 * time.Second))
		h.start()
	case 2: // a planned stop
		h.current().stop()
		time.Sleep(w.upTo(2 * time.Second))
		h.kill()
		h.start()
	case 3:
		w.set(func() { h.cut = !h.cut })
	case 4:
		w.set(func() { w.down = !w.down })
	case 5:
		w.set(func() { w.apiDown = !w.apiDown })
	case 6:
		w.set(func() { w.hosts[0].step = time.Duration(w.random.IntN(5)-2) * time.Second })
	case 7: // all at once
		for _, h := range w.hosts {
			h.kill()
		}
		for _, h := range w.hosts {
			h.start()
		}
	}
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// TestModel guards against two reports of a window with different counts, two machines with one
// token, a falling token, and machines that act by turns, under random faults; and against counts
// that are wrong, or late, once the faults are over.
func TestModel(t *testing.T) {
	for seed := range *modelSeeds {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed)
			w.set(func() { w.troubles = true })
			for begin := time.Now(); time.Since(begin) < troubled; time.Sleep(w.upTo(4 * time.Second)) {
				w.disturb()
			}
			w.set(func() {
				w.troubles, w.down, w.apiDown = false, false, false
				for _, h := range w.hosts {
					h.cut = false
				}
			})
			calmFrom := time.Now().Add(15 * time.Second)
			time.Sleep(calm)
			w.checkCalm(calmFrom)
			w.stop()
			if t.Failed() {
				t.Fatalf("seed %d\n%s", seed, strings.Join(w.trace, "\n"))
			}
		})
	}
}

// newWorld starts an instance on each machine.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), stored: make(map[string]api.Object),
		reports: make(map[int64]map[string]int64), reported: make(map[int64]time.Time),
		byToken: make(map[int64]int), truth: make(map[int64]map[string]int64),
	}
	for n := range w.hosts {
		w.hosts[n] = &host{world: w, machine: n}
	}
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

// stop stops all instances, and waits for what is under way.
func (w *world) stop() {
	for _, h := range w.hosts {
		h.current().stop()
	}
	time.Sleep(10 * time.Second)
}

// checkCalm checks the windows that began and were due while there were no faults.
func (w *world) checkCalm(from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := int64(time.Duration(from.UnixNano())/window) + 1
	last := int64(time.Duration(time.Now().UnixNano()-int64(due))/window) - 1
	if last < first {
		w.t.Fatal("no window to check")
	}
	for number := first; number <= last; number++ {
		for org, want := range w.truth[number] {
			if got := w.reports[number][org]; math.Abs(float64(got-want)) > usageError*float64(want) {
				w.t.Errorf("window %d: %d requests of %s reported, want %d", number, got, org, want)
			}
		}
		if late := time.Duration(w.reported[number].UnixNano()) - time.Duration(number+1)*window; late > due {
			w.t.Errorf("window %d is reported %v after its end", number, late)
		}
	}
}

// TestCountsSurviveKills guards against counts that are lost, or counted twice, when single
// instances are killed, or one and the holder at once, while datagrams get lost and come twice.
func TestCountsSurviveKills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 7)
		first := time.Now()
		time.Sleep(2 * window)
		for range 12 {
			killed := []*host{w.hosts[w.upTo(machines)]}
			if holder := w.holder(); w.upTo(2) == 0 && holder != killed[0] {
				killed = append(killed, holder)
			}
			for _, h := range killed {
				h.kill()
			}
			time.Sleep(window / 5)
			for _, h := range killed {
				h.start()
			}
			time.Sleep(window)
		}
		time.Sleep(3 * window)
		w.checkCalm(first)
		w.stop()
	})
}

// holder returns the machine of the instance that made the newest call.
func (w *world) holder() *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[w.acts[len(w.acts)-1].machine]
}
