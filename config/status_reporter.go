package config

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/peer"
)

const (
	// reportInterval is the time between two looks at what is to be reported.
	reportInterval = time.Second
	// reportPatience is how long a report waits for all instances.
	reportPatience = 3 * time.Second
	// incompleteInterval is the time between two looks at a resource that was
	// reported before all instances had it.
	incompleteInterval = 5 * time.Second
	// reportsPerInterval bounds the status writes.
	reportsPerInterval = 40
)

// The reasons in the Accepted condition.
const (
	ReasonValid      = "Valid"
	ReasonOverridden = "Overridden"
	ReasonInvalid    = "Invalid"
)

// Reporter writes the conditions Accepted and InForce. It writes once for each
// change of a resource, when all instances have it, and twice if some of them
// took longer than reportPatience. It makes no call while nothing changes.
type Reporter struct {
	// Writes counts the resources whose status was written.
	Writes atomic.Int64

	sync     *Sync
	platform Platform
	status   StatusStore
	chosen   func() bool

	// progress is nil while another instance reports.
	progress map[ResourceKey]progress
	// settled says that all was reported when the store had these sums.
	settled bool
	sums    BucketSums
}

// progress is how far the report of a resource is.
type progress struct {
	version  int64 // the spec version that it speaks of
	since    time.Time
	reported bool
	complete bool
	checked  time.Time
	// copied says that the platform holds a copy of the accepted spec.
	copied bool
}

// reach is what one round of questions found.
type reach struct {
	digests []instanceDigest
}

// instanceDigest is one instance's digest, or nil if it did not answer.
type instanceDigest struct {
	dataCentre string
	digest     *Digest
}

// NewReporter returns a reporter that works while chosen says so.
func NewReporter(s *Sync, platform Platform, status StatusStore, chosen func() bool) *Reporter {
	return &Reporter{sync: s, platform: platform, status: status, chosen: chosen}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		if !r.chosen() {
			r.progress = nil
			continue
		}
		if r.progress == nil && r.load(ctx) != nil {
			continue
		}
		r.step(ctx)
	}
}

// load learns from the platform what was reported before.
func (r *Reporter) load(ctx context.Context) error {
	found := make(map[ResourceKey]progress)
	for _, kind := range api.ConfigKinds {
		list, err := r.platform.List(ctx, kind)
		if err != nil {
			return err
		}
		for _, obj := range list.Items {
			found[ResourceKey{kind, obj.Name}] = reportedBefore(obj)
		}
	}
	list, err := r.platform.List(ctx, api.KindReport)
	if err != nil {
		return err
	}
	for _, rec := range recordsOfCopies(list) {
		p := found[rec.Key]
		p.copied = true
		found[rec.Key] = p
	}
	r.progress, r.settled = found, false
	return nil
}

// reportedBefore reads from an object's status how far its report is. A status
// that does not decode counts as none.
func reportedBefore(obj api.Object) progress {
	var status api.Status
	_ = json.Unmarshal(obj.Status, &status)
	accepted, _ := objects.Condition(status, api.ConditionAccepted)
	inForce, _ := objects.Condition(status, api.ConditionInForce)
	return progress{
		version:  accepted.SpecVersion,
		reported: true,
		complete: inForce.Status || !accepted.Status,
	}
}

// step reports what is due. It stops at the first write that fails.
func (r *Reporter) step(ctx context.Context) {
	sums := r.sync.Store.Digest().Sums
	if r.settled && sums == r.sums {
		return
	}
	r.sums = sums
	now := time.Now()
	due, open := r.due(now)
	r.settled = open == 0
	if len(due) == 0 {
		return
	}
	found := r.ask(ctx)
	for _, rec := range due {
		if r.reportOne(ctx, now, rec, found) != nil {
			return
		}
	}
}

// due lists the records to report on now, counts all whose report is not
// complete, and forgets deleted resources.
func (r *Reporter) due(now time.Time) (due []Record, open int) {
	next := make(map[ResourceKey]progress)
	for _, rec := range r.sync.Store.live() {
		version := max(rec.Accepted, rec.Rejected)
		p := r.progress[rec.Key]
		if p.version < version {
			p = progress{version: version, since: now, copied: p.copied}
		}
		next[rec.Key] = p
		if p.complete {
			continue
		}
		open++
		resting := p.reported && now.Sub(p.checked) < incompleteInterval
		if !resting && len(due) < reportsPerInterval {
			due = append(due, rec)
		}
	}
	r.progress = next
	return due, open
}

func (r *Reporter) reportOne(ctx context.Context, now time.Time, rec Record, found reach) error {
	p := r.progress[rec.Key]
	p.checked = now
	counts, complete := found.of(rec, r.sync.Store.Digest())
	err := r.keepCopy(ctx, rec, &p)
	if err == nil && (complete || !p.reported && now.Sub(p.since) >= reportPatience) {
		err = r.write(ctx, rec, counts, complete)
		p.reported = p.reported || err == nil
		p.complete = complete && err == nil
	}
	if errors.Is(err, objects.ErrNotFound) {
		// It was deleted meanwhile, or the read is older than the resource. It is
		// looked at again while it is in the configuration.
		err = nil
	}
	r.progress[rec.Key] = p
	return err
}

// keepCopy stores the accepted spec beside an invalid one, and removes it once
// a valid one is in force.
func (r *Reporter) keepCopy(ctx context.Context, rec Record, p *progress) error {
	needed := rec.Rejected > 0 && rec.inForce()
	if needed == p.copied {
		return nil
	}
	var err error
	if needed {
		err = saveCopy(ctx, r.status, rec)
	} else {
		err = removeCopy(ctx, r.status, rec.Key)
	}
	if err == nil {
		p.copied = needed
	}
	return err
}

func (r *Reporter) write(ctx context.Context, rec Record, counts []api.RolloutByDataCentre, complete bool) error {
	version := max(rec.Accepted, rec.Rejected)
	accepted := r.accepted(rec)
	edited := false
	err := objects.UpdateStatus(ctx, r.status, rec.Key.Kind, rec.Key.Name, func(spec int64, s *api.Status) {
		edited = spec == version
		if !edited {
			return
		}
		objects.SetCondition(s, accepted)
		objects.SetCondition(s, api.Condition{
			Type:        api.ConditionInForce,
			Status:      complete && rec.inForce(),
			SpecVersion: rec.Accepted,
		})
		s.Rollout = counts
	})
	switch {
	case err != nil:
		return err
	case !edited:
		return errors.New("config: the platform has another spec version")
	}
	r.Writes.Add(1)
	return nil
}

func (r *Reporter) accepted(rec Record) api.Condition {
	c := api.Condition{Type: api.ConditionAccepted, Status: true, SpecVersion: rec.Accepted, Reason: ReasonValid}
	if rec.Rejected > 0 {
		return api.Condition{Type: api.ConditionAccepted, SpecVersion: rec.Rejected, Reason: ReasonInvalid, Message: rec.Problem}
	}
	for _, note := range r.sync.Store.Overrides() {
		if note.Key == rec.Key {
			c.Reason, c.Message = ReasonOverridden, note.Message
		}
	}
	return c
}

// ask takes the digests of all instances.
func (r *Reporter) ask(ctx context.Context) reach {
	peers := r.sync.Peers()
	own := r.sync.Store.Digest()
	found := make([]instanceDigest, len(peers), len(peers)+1)
	var group sync.WaitGroup
	slots := make(chan struct{}, pushParallel)
	for i, p := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			found[i].dataCentre = p.DataCentre
			if d, err := callPeer[Ack, Digest](ctx, r.sync.Transport, p, peer.KindConfigDigest, Ack{}); err == nil {
				found[i].digest = &d
			}
		})
	}
	group.Wait()
	return reach{digests: append(found, instanceDigest{r.sync.DataCentre, &own})}
}

// of counts the instances that hold the same records as own in the resource's
// bucket, and reports whether all do.
func (f reach) of(rec Record, own Digest) ([]api.RolloutByDataCentre, bool) {
	bucket := bucketOf(rec.Key)
	complete := true
	byName := make(map[string]*api.RolloutByDataCentre)
	var counts []*api.RolloutByDataCentre
	for _, d := range f.digests {
		count := byName[d.dataCentre]
		if count == nil {
			count = &api.RolloutByDataCentre{DataCentre: d.dataCentre}
			byName[d.dataCentre] = count
			counts = append(counts, count)
		}
		count.Known++
		if d.digest != nil && d.digest.Sums[bucket] == own.Sums[bucket] {
			count.InForce++
		} else {
			complete = false
		}
	}
	out := make([]api.RolloutByDataCentre, 0, len(counts))
	for _, count := range counts {
		out = append(out, *count)
	}
	slices.SortFunc(out, func(a, b api.RolloutByDataCentre) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out, complete
}
