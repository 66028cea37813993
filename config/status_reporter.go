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
	// reportInterval is the time between two passes over the resources.
	reportInterval = time.Second
	// The first report on a spec version waits until the version is in force in all
	// instances, but not longer than rolloutTimeout.
	rolloutTimeout = 3 * time.Second
	// incompleteRecheckInterval is the time between two checks of a spec version
	// that was reported before it was in force in all instances.
	incompleteRecheckInterval = 5 * time.Second
	// reportsPerInterval bounds the number of resources on which one pass reports.
	// It thus bounds the rate of status writes.
	reportsPerInterval = 40
)

// Reasons in the Accepted condition.
const (
	ReasonValid      = "Valid"
	ReasonOverridden = "Overridden"
	ReasonInvalid    = "Invalid"
)

// StatusReporter writes the conditions Accepted and InForce to the status of
// resources. For each change of a resource it writes the status when all
// instances have the change. If that takes longer than rolloutTimeout, it also
// writes the status a first time when rolloutTimeout has passed. It makes no
// call while nothing changes.
type StatusReporter struct {
	// Writes counts the successful status writes.
	Writes atomic.Int64

	sync         *Sync
	platform     ObjectReader
	status       StatusStore
	shouldReport func() bool

	// progress is nil while this instance does not have the duty to report. When it
	// gets the duty, loadProgress sets progress.
	progress map[ResourceKey]reportProgress
	// allReported says that no status write was pending at the last pass over the
	// resources. The store then had the sums in reportedSums.
	allReported  bool
	reportedSums BucketSums
}

// reportProgress is the state of the reports on one resource.
type reportProgress struct {
	version     int64 // the spec version that is reported on
	firstSeen   time.Time
	reported    bool // a status was written for the version
	complete    bool // no further status write is needed for the version
	lastChecked time.Time
	// copied is the version of the accepted spec of which the platform holds a copy, or
	// zero if it holds none.
	copied int64
}

// rollout holds the digests of all instances, fetched at the same time.
type rollout struct {
	digests []instanceDigest
}

// instanceDigest is the digest of one instance. It is nil if the instance did not
// respond.
type instanceDigest struct {
	dataCentre string
	digest     *Digest
}

// NewStatusReporter returns a reporter that writes statuses only while
// shouldReport returns true.
func NewStatusReporter(sync *Sync, platform ObjectReader, status StatusStore, shouldReport func() bool) *StatusReporter {
	return &StatusReporter{sync: sync, platform: platform, status: status, shouldReport: shouldReport}
}

// Run writes statuses until ctx ends.
func (r *StatusReporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		if !r.shouldReport() {
			r.progress = nil
			continue
		}
		if r.progress == nil && r.loadProgress(ctx) != nil {
			continue
		}
		r.reportPending(ctx)
	}
}

// loadProgress reads from the platform what this and other instances have reported,
// and which copies of accepted specs exist.
func (r *StatusReporter) loadProgress(ctx context.Context) error {
	loaded := make(map[ResourceKey]reportProgress)
	for _, kind := range api.ConfigKinds {
		list, err := r.platform.List(ctx, kind)
		if err != nil {
			return err
		}
		for _, obj := range list.Items {
			loaded[ResourceKey{kind, obj.Name}] = progressFromStatus(obj)
		}
	}
	list, err := r.platform.List(ctx, api.KindReport)
	if err != nil {
		return err
	}
	for _, rec := range recordsFromCopies(list) {
		p := loaded[rec.Key]
		p.copied = rec.Accepted
		loaded[rec.Key] = p
	}
	r.progress, r.allReported = loaded, false
	return nil
}

// progressFromStatus derives the progress of reports from an object's status. A
// status that does not decode counts as empty.
func progressFromStatus(obj api.Object) reportProgress {
	var status api.Status
	_ = json.Unmarshal(obj.Status, &status)
	accepted, _ := objects.FindCondition(status, api.ConditionAccepted)
	inForce, _ := objects.FindCondition(status, api.ConditionInForce)
	return reportProgress{
		version:  accepted.SpecVersion,
		reported: true,
		complete: inForce.Status || !accepted.Status,
	}
}

// reportPending reports on all resources that are due. It stops at the first
// write that fails.
func (r *StatusReporter) reportPending(ctx context.Context) {
	sums := r.sync.Store.Digest().Sums
	if r.allReported && sums == r.reportedSums {
		return
	}
	r.reportedSums = sums
	now := time.Now()
	due, incomplete := r.dueRecords(now)
	r.allReported = incomplete == 0
	if r.deleteCopiesOfDeleted(ctx) != nil || len(due) == 0 {
		return
	}
	current := r.fetchRollout(ctx)
	for _, rec := range due {
		if r.reportOne(ctx, now, rec, current) != nil {
			return
		}
	}
}

// dueRecords returns the records to report on now and the number of all records
// whose report is not complete. It drops the progress of deleted resources, unless
// the platform may still hold a copy of one.
func (r *StatusReporter) dueRecords(now time.Time) (due []Record, incomplete int) {
	next := make(map[ResourceKey]reportProgress)
	for _, rec := range r.sync.Store.liveRecords() {
		version := max(rec.Accepted, rec.Rejected)
		p := r.progress[rec.Key]
		if p.version < version {
			p = reportProgress{version: version, firstSeen: now, copied: p.copied}
		}
		next[rec.Key] = p
		if p.complete {
			continue
		}
		incomplete++
		recentlyChecked := p.reported && now.Sub(p.lastChecked) < incompleteRecheckInterval
		if !recentlyChecked && len(due) < reportsPerInterval {
			due = append(due, rec)
		}
	}
	for key, p := range r.progress {
		if _, live := next[key]; !live && p.copied > 0 {
			next[key] = p
			incomplete++
		}
	}
	r.progress = next
	return due, incomplete
}

// deleteCopiesOfDeleted deletes the copies of resources that were deleted. Such a
// copy would put a withdrawn spec in force again, if the resource is created anew
// with an invalid spec and all instances restart. It stops at the first write that
// fails.
func (r *StatusReporter) deleteCopiesOfDeleted(ctx context.Context) error {
	for key, p := range r.progress {
		if p.copied == 0 || !r.sync.Store.deletedAfter(key, p.copied) {
			continue
		}
		if err := deleteCopy(ctx, r.status, key); err != nil {
			return err
		}
		p.copied = 0
		r.progress[key] = p
	}
	return nil
}

// reportOne reports on one resource. It first calls updateCopy for the copy of the
// accepted spec at the platform. If all instances have the newest version, it then
// writes the status. If they do not, it writes the status once after
// rolloutTimeout. It saves the progress even if a write fails.
func (r *StatusReporter) reportOne(ctx context.Context, now time.Time, rec Record, current rollout) error {
	p := r.progress[rec.Key]
	p.lastChecked = now
	counts, complete := current.countInForce(rec, r.sync.Store.Digest())
	err := r.updateCopy(ctx, rec, &p)
	if err == nil && (complete || !p.reported && now.Sub(p.firstSeen) >= rolloutTimeout) {
		err = r.writeStatus(ctx, rec, counts, complete)
		p.reported = p.reported || err == nil
		p.complete = complete && err == nil
	}
	if errors.Is(err, objects.ErrNotFound) {
		// The resource was deleted in the meantime, or the platform returned a
		// state from before its creation. As long as the store has the resource,
		// the reporter checks it again.
		err = nil
	}
	r.progress[rec.Key] = p
	return err
}

// updateCopy stores a copy of the accepted spec at the platform if the newest spec
// is invalid. If the copy is no longer needed, it deletes the copy.
func (r *StatusReporter) updateCopy(ctx context.Context, rec Record, p *reportProgress) error {
	wanted := int64(0)
	if rec.Rejected > 0 && rec.inForce() {
		wanted = rec.Accepted
	}
	if wanted == p.copied {
		return nil
	}
	var err error
	if wanted > 0 {
		err = saveCopy(ctx, r.status, rec)
	} else {
		err = deleteCopy(ctx, r.status, rec.Key)
	}
	if err == nil {
		p.copied = wanted
	}
	return err
}

// writeStatus writes the conditions and the instance counts. It fails if the
// platform's spec version is not the record's.
func (r *StatusReporter) writeStatus(ctx context.Context, rec Record, counts []api.RolloutByDataCentre, complete bool) error {
	version := max(rec.Accepted, rec.Rejected)
	accepted := r.acceptedCondition(rec)
	versionMatches := false
	err := objects.UpdateStatus(ctx, r.status, rec.Key.Kind, rec.Key.Name, func(specVersion int64, s *api.Status) {
		versionMatches = specVersion == version
		if !versionMatches {
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
	case !versionMatches:
		return errors.New("config: the platform's spec version differs from the record's")
	}
	r.Writes.Add(1)
	return nil
}

func (r *StatusReporter) acceptedCondition(rec Record) api.Condition {
	condition := api.Condition{Type: api.ConditionAccepted, Status: true, SpecVersion: rec.Accepted, Reason: ReasonValid}
	if rec.Rejected > 0 {
		return api.Condition{Type: api.ConditionAccepted, SpecVersion: rec.Rejected, Reason: ReasonInvalid, Message: rec.Problem}
	}
	for _, override := range r.sync.Store.Overrides() {
		if override.Key == rec.Key {
			condition.Reason, condition.Message = ReasonOverridden, override.Message
		}
	}
	return condition
}

// fetchRollout fetches the digests of all peers and adds the local one.
func (r *StatusReporter) fetchRollout(ctx context.Context) rollout {
	peers := r.sync.Peers()
	local := r.sync.Store.Digest()
	digests := make([]instanceDigest, len(peers), len(peers)+1)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelCalls)
	for i, p := range peers {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			digests[i].dataCentre = p.DataCentre
			if digest, err := callPeer[Empty, Digest](ctx, r.sync.Transport, p, peer.KindConfigDigest, Empty{}); err == nil {
				digests[i].digest = &digest
			}
		})
	}
	group.Wait()
	return rollout{digests: append(digests, instanceDigest{r.sync.DataCentre, &local})}
}

// countInForce counts, by data centre, the known instances and the instances in
// which the record is in force. If an instance and the local store have the same
// sum for the record's bucket, the record counts as in force there. The second
// result is whether the record is in force in all instances.
func (r rollout) countInForce(rec Record, local Digest) ([]api.RolloutByDataCentre, bool) {
	bucket := bucketOf(rec.Key)
	complete := true
	byDataCentre := make(map[string]*api.RolloutByDataCentre)
	var counts []*api.RolloutByDataCentre
	for _, d := range r.digests {
		count := byDataCentre[d.dataCentre]
		if count == nil {
			count = &api.RolloutByDataCentre{DataCentre: d.dataCentre}
			byDataCentre[d.dataCentre] = count
			counts = append(counts, count)
		}
		count.Known++
		if d.digest != nil && d.digest.Sums[bucket] == local.Sums[bucket] {
			count.InForce++
		} else {
			complete = false
		}
	}
	result := make([]api.RolloutByDataCentre, 0, len(counts))
	for _, count := range counts {
		result = append(result, *count)
	}
	slices.SortFunc(result, func(a, b api.RolloutByDataCentre) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return result, complete
}
