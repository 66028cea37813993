package usage

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// recentWindows is how many windows before the current one an instance names in its sums, also if
// it counted nothing in them: the holder then knows that it has not missed anything.
const recentWindows = 2

// AccountsOptions configures Accounts. All fields are required.
type AccountsOptions struct {
	// Name is this instance's name, and Address where it takes the messages of peers.
	Name    string
	Address netip.AddrPort
	// Started is when this process started.
	Started time.Time
	Clock   *Clock
	// Window is the length of a window.
	Window time.Duration
}

// Accounts holds what this instance counted, what its peers told it of their own counts, and what
// it knows about the holder of the duties. It is safe for concurrent use.
type Accounts struct {
	options AccountsOptions
	self    process

	mu     sync.Mutex
	counts map[int64]map[uint32]uint32
	table  *table
	token  int64
	holder netip.AddrPort
	// planned is the first window whose counts are not stored yet, as far as is known.
	planned int64
}

// NewAccounts returns accounts without any counts.
func NewAccounts(o AccountsOptions) *Accounts {
	return &Accounts{
		options: o, self: process{InstanceHash(o.Name), o.Started.UnixNano()},
		counts: make(map[int64]map[uint32]uint32), table: newTable(),
	}
}

// window returns the window that true time is in, and its end.
func (a *Accounts) window(unix time.Duration) int64 { return int64(unix / a.options.Window) }

// endOf returns the end of a window as the time since the start of 1970.
func (a *Accounts) endOf(window int64) time.Duration {
	return time.Duration(window+1) * a.options.Window
}

// Count counts a request of an organisation that began to run now.
func (a *Accounts) Count(organisation string) {
	window := a.window(a.options.Clock.Unix(time.Now()))
	hash := OrganisationHash(organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.counts[window]
	if counts == nil {
		counts = make(map[uint32]uint32)
		a.counts[window] = counts
		a.dropOldest()
	}
	counts[hash]++
}

// dropOldest keeps this instance's counts bounded while nobody reports them.
func (a *Accounts) dropOldest() {
	for len(a.counts) > maxWindowsPerInstance {
		oldest := int64(math.MaxInt64)
		for w := range a.counts {
			oldest = min(oldest, w)
		}
		delete(a.counts, oldest)
	}
}

// Notice returns what the instance's next datagrams state.
func (a *Accounts) Notice(now time.Time) Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Notice{UnixMs: a.options.Clock.timeOfDay(now).Milliseconds(), Token: a.token, Holder: a.holder, Planned: a.planned}
}

// ReceiveNotice takes in what a peer states.
func (a *Accounts) ReceiveNotice(peer string, n Notice, now time.Time) {
	a.options.Clock.Observe(InstanceHash(peer), n.UnixMs, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learnHolder(n.Token, n.Holder)
	a.learnPlanned(n.Planned, now)
}

func (a *Accounts) learnHolder(token int64, holder netip.AddrPort) {
	if token > a.token {
		a.token, a.holder = token, holder
	}
}

// learnPlanned takes in the first window that is not planned. One in the future is an error of the
// peer's clock.
func (a *Accounts) learnPlanned(planned int64, now time.Time) {
	if planned <= a.planned || planned > a.window(a.options.Clock.Unix(now))+1 {
		return
	}
	a.planned = planned
	for w := range a.counts {
		if w < planned {
			delete(a.counts, w)
		}
	}
	a.table.forget(planned, now)
}

// SetHolder records that this instance holds the duties, and the first window that is not planned.
func (a *Accounts) SetHolder(token, planned int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learnHolder(token, a.options.Address)
	a.learnPlanned(planned, now)
}

// Planned returns the first window whose counts are not stored yet, as far as is known.
func (a *Accounts) Planned() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.planned
}

// Holder returns where the holder of the duties takes messages. It is not valid if none is known.
func (a *Accounts) Holder() netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder
}

// ReceiveSums takes in sums of other instances from a peer.
func (a *Accounts) ReceiveSums(peer string, all []InstanceSums, now time.Time) {
	sender := InstanceHash(peer)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range all {
		if s.Instance != a.self.instance || s.Started != a.self.started {
			a.table.merge(s, s.Instance == sender, a.planned, now)
		}
	}
}

// OwnSums returns what this instance counted, for the holder and its deputies. final is set if it
// counts no more.
func (a *Accounts) OwnSums(now time.Time, final bool) []Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return split([]InstanceSums{a.ownSums(now, final)})
}

func (a *Accounts) ownSums(now time.Time, final bool) InstanceSums {
	unix := a.options.Clock.Unix(now)
	s := InstanceSums{Instance: a.self.instance, Started: a.self.started, ThroughMs: unix.Milliseconds(), Final: final}
	current := a.window(unix)
	named := make(map[int64]bool)
	for w := max(a.planned, current-recentWindows); w <= current; w++ {
		named[w] = true
	}
	for w := range a.counts {
		named[w] = true
	}
	for w := range named {
		sums := make([]Sum, 0, len(a.counts[w]))
		for org, n := range a.counts[w] {
			sums = append(sums, Sum{Organisation: org, Count: n})
		}
		s.Windows = append(s.Windows, WindowSums{Window: w, Sums: sums})
	}
	slices.SortFunc(s.Windows, func(x, y WindowSums) int { return int(x.Window - y.Window) })
	return s
}

// SilentSums returns the sums of instances that sent this one some but don't any more, for the
// holder.
func (a *Accounts) SilentSums(now time.Time) []Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return split(a.table.silent(now))
}

// state returns what the reporter decides on: whether a window is complete, and its counts.
func (a *Accounts) state(window int64, live []uint64, now time.Time) windowState {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.merge(a.ownSums(now, false), true, a.planned, now)
	st := windowState{window: window, end: a.endOf(window)}
	st.missing, st.expected = a.table.missing(window, st.end.Milliseconds(), live, now)
	st.sums, st.instances = a.table.total(window)
	return st
}

// windowState is what is known about one window.
type windowState struct {
	window int64
	end    time.Duration
	// sums holds the counts by the hash of the organisation, from the given number of
	// instances. missing is the number of instances that may have counted more, of the expected
	// ones.
	sums              map[uint32]int64
	instances         int
	missing, expected int
}

// missingShare returns the share of the instances whose counts may lack some.
func (s windowState) missingShare() float64 {
	if s.expected == 0 {
		return 0
	}
	return float64(s.missing) / float64(s.expected)
}
