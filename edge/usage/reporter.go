package usage

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/duty"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// tick is the time between two looks at what there is to do.
	tick = 100 * time.Millisecond
	// retryDelay is the time after a failed call before the next one.
	retryDelay = 400 * time.Millisecond
	// storeTimeout bounds one call to the metadata store.
	storeTimeout = 800 * time.Millisecond
	// maxPlansPerWrite bounds the windows that are planned at once.
	maxPlansPerWrite = 16
	// subject names the reports in errors.
	subject = "usage"
)

// PlanStore keeps the plans. Reads are never stale.
type PlanStore interface {
	// ReadPlans returns the plans and the version of their object. If there is none, both are
	// zero.
	ReadPlans(ctx context.Context) (platform.UsagePlans, objects.Version, error)
	// WritePlans replaces the plans if their object has the given version, and returns the new
	// one. After any error but objects.ErrConflict, it may have replaced them all the same.
	WritePlans(ctx context.Context, p platform.UsagePlans, version objects.Version) (objects.Version, error)
}

// API sends reports.
type API interface {
	ReportUsage(ctx context.Context, c platform.DutyCall, window int64, counts map[string]int64) error
}

// Guard makes a duty call if this instance may.
type Guard interface {
	Do(ctx context.Context, subject string, call func(ctx context.Context, c platform.DutyCall) error) error
}

// ReporterOptions configures a Reporter. All fields are required.
type ReporterOptions struct {
	Accounts *Accounts
	Clock    *Clock
	Store    PlanStore
	API      API
	Guard    Guard
	Terms    duty.Terms
	// Window is the length of a window, and Due how long after its end its report is due.
	Window, Due time.Duration
	// PermittedError is the fraction by which a count may be off.
	PermittedError float64
	// Live returns the names of the instances that run, this one included.
	Live func() []string
	// Organisations returns the names of the organisations that there are.
	Organisations func() []string
	Log           *slog.Logger
}

// Counters counts what became of reports. Sent reports were confirmed, Late ones of these after
// they were due. Failed counts calls that were not confirmed, GivenUp the reports that never were.
// StoreFailed counts failed calls to the metadata store.
type Counters struct {
	Sent, Late, Failed, GivenUp, StoreFailed atomic.Int64
}

// Reporter reports usage while this instance holds the duties.
type Reporter struct {
	// Counters may be read at any time.
	Counters Counters

	options ReporterOptions
	timing  timing
	names   map[uint32]string

	// token is that of the term in which the plans were read, or 0 if they must be read.
	token   int64
	plans   platform.UsagePlans
	version objects.Version
	retryAt time.Time
}

// NewReporter returns a reporter. Run must be called for it to report.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{options: o, timing: newTiming(o.Due, o.PermittedError), names: make(map[uint32]string)}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.options.Clock.Refresh(time.Now())
		r.step(ctx)
	}
}

// step does what there is to do now.
func (r *Reporter) step(ctx context.Context) {
	now := time.Now()
	term, held := r.options.Terms.Term(now)
	if !held {
		r.token = 0
		return
	}
	if now.Before(r.retryAt) {
		return
	}
	if r.token != term.FencingToken && !r.read(ctx, term) {
		return
	}
	if !r.plan(ctx, term) {
		return
	}
	r.send(ctx)
}

// read reads the plans at the beginning of a term, or after a write whose outcome is not known.
func (r *Reporter) read(ctx context.Context, term duty.Term) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	plans, version, err := r.options.Store.ReadPlans(ctx)
	if err != nil {
		r.storeFailed("usage plans not read", err)
		return false
	}
	if known := r.options.Accounts.Planned(); plans.Next < known {
		// The store lost what was written last, but not what the instances know of it.
		plans.Next = known
	}
	r.plans, r.version, r.token = plans, version, term.FencingToken
	r.options.Accounts.SetHolder(term.FencingToken, plans.Next, time.Now())
	r.options.Log.Info("usage plans read", "token", term.FencingToken, "planned_by", plans.Token, "next", plans.Next, "unconfirmed", len(plans.Plans))
	return true
}

// storeFailed has the plans read again.
func (r *Reporter) storeFailed(text string, err error) {
	r.Counters.StoreFailed.Add(1)
	r.options.Log.Warn(text, "token", r.token, "error", err.Error())
	r.token = 0
	r.retryAt = time.Now().Add(retryDelay)
}

// plan stores the counts of the windows that are ready. It returns false if what is stored is not
// known.
func (r *Reporter) plan(ctx context.Context, term duty.Term) bool {
	next := r.withReady(term)
	if next.Next == r.plans.Next {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The condition on the version keeps the write of a term that has ended from doing harm.
	version, err := r.options.Store.WritePlans(ctx, next, r.version)
	if err != nil {
		r.storeFailed("usage plans not written", err)
		return false
	}
	r.countGivenUp(next)
	r.plans, r.version = next, version
	r.options.Accounts.SetHolder(term.FencingToken, next.Next, time.Now())
	return true
}

// countGivenUp counts the windows that the next plans leave out, or drop unsent, because they are
// too old.
func (r *Reporter) countGivenUp(next platform.UsagePlans) {
	planned := make(map[int64]bool)
	for _, p := range next.Plans {
		planned[p.Window] = true
	}
	last, count := int64(0), int64(0)
	for _, p := range r.plans.Plans {
		if !p.Sent && !planned[p.Window] {
			last, count = p.Window, count+1
		}
	}
	for w := r.plans.Next; r.plans.Next > 0 && w < next.Next; w++ {
		if !planned[w] {
			last, count = w, count+1
		}
	}
	if count > 0 {
		r.Counters.GivenUp.Add(count)
		r.options.Log.Warn("usage not reported", "windows", count, "last", last, "reason", "too old")
	}
}

// withReady returns the plans with those of the windows that are ready.
func (r *Reporter) withReady(term duty.Term) platform.UsagePlans {
	now := time.Now()
	unix := r.options.Clock.Unix(now)
	next := platform.UsagePlans{Token: term.FencingToken, Plans: append([]platform.UsagePlan(nil), r.plans.Plans...)}
	next.Next = r.timing.firstWindow(r.plans.Next, r.options.Window, unix)
	if unix < r.options.Accounts.endOf(next.Next) {
		return r.plans
	}
	live := r.live()
	for range maxPlansPerWrite {
		st := r.options.Accounts.state(next.Next, live, now)
		if !r.timing.ready(unix-st.end, now.Sub(term.HeldSince), st.missingShare()) {
			break
		}
		next.Plans = append(next.Plans, platform.UsagePlan{Window: st.window, Counts: r.named(st.sums)})
		next.Next++
		r.options.Log.Info("usage planned", "window", st.window, "token", term.FencingToken, "instances", st.instances,
			"missing", st.missing, "expected", st.expected, "after_ms", (unix - st.end).Milliseconds(),
			"clock_ahead_ms", r.options.Clock.Deviation(now).Milliseconds())
	}
	next.Plans = r.timing.prune(next.Plans, r.options.Window, unix)
	return next
}

func (r *Reporter) live() []uint64 {
	names := r.options.Live()
	hashes := make([]uint64, 0, len(names))
	for _, name := range names {
		hashes = append(hashes, InstanceHash(name))
	}
	return hashes
}

// named returns sums by the names of the organisations. Those whose name was never known here are
// left out.
func (r *Reporter) named(sums map[uint32]int64) map[string]int64 {
	for _, name := range r.options.Organisations() {
		r.names[OrganisationHash(name)] = name
	}
	counts := make(map[string]int64, len(sums))
	for hash, n := range sums {
		name, known := r.names[hash]
		if !known {
			r.options.Log.Warn("usage of an unknown organisation left out", "hash", hash, "requests", n)
			continue
		}
		counts[name] = n
	}
	return counts
}

// send sends what is planned and not confirmed, until a call fails.
func (r *Reporter) send(ctx context.Context) {
	for {
		unix := r.options.Clock.Unix(time.Now())
		n := r.timing.nextToSend(r.plans.Plans, r.options.Window, unix)
		if n < 0 {
			return
		}
		if !r.sendOne(ctx, &r.plans.Plans[n]) {
			r.retryAt = time.Now().Add(retryDelay)
			return
		}
	}
}

// sendOne sends a report and reports whether it needn't be sent again.
func (r *Reporter) sendOne(ctx context.Context, p *platform.UsagePlan) bool {
	var token int64
	err := r.options.Guard.Do(ctx, subject, func(ctx context.Context, c platform.DutyCall) error {
		token = c.FencingToken
		if token != r.token {
			// The plans were read in an earlier term, and another holder may have been between.
			return duty.ErrNotHolder
		}
		return r.options.API.ReportUsage(ctx, c, p.Window, p.Counts)
	})
	age := r.options.Clock.Unix(time.Now()) - time.Duration(p.Window+1)*r.options.Window
	requests := int64(0)
	for _, n := range p.Counts {
		requests += n
	}
	fields := []any{
		"window", p.Window, "token", token, "organisations", len(p.Counts), "requests", requests,
		"after_ms", age.Milliseconds(), "late", age > r.timing.due,
	}
	switch {
	case err == nil:
		p.Sent = true
		r.Counters.Sent.Add(1)
		if age > r.timing.due {
			r.Counters.Late.Add(1)
		}
		r.options.Log.Info("usage reported", fields...)
		return true
	case errors.Is(err, platform.ErrDutyRefused), errors.Is(err, platform.ErrNoneAvailable):
		p.Sent = true
		r.Counters.GivenUp.Add(1)
		r.options.Log.Warn("usage report refused", append(fields, "error", err.Error())...)
		return true
	default:
		r.Counters.Failed.Add(1)
		r.options.Log.Warn("usage report failed", append(fields, "error", err.Error())...)
		return false
	}
}
