package usage

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/edge/duty"
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
	cut  bool
	step time.Duration
	// thaws are the ends of the process's pauses. Pauses of its goroutines may overlap.
	thaws []time.Time
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
		if round%sumsRounds == 0 {
			h.sendSums(i, false)
		}
	}
	h.sendSums(i, true)
}

// sumsRounds is after how many rounds an instance sends its sums.
var sumsRounds = int(SumsInterval(machines-1) / datagram)

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
