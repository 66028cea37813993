package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

const (
	// flapWindow is the time over which an instance's rejoins are counted.
	flapWindow = time.Minute
	// undampedRejoins is the number of rejoins within flapWindow that cause no
	// damping.
	undampedRejoins = 1
	// minDamping and maxDamping bound the time for which an instance that
	// rejoined too often is damped, that is, given no duties.
	minDamping = 5 * time.Second
	maxDamping = time.Minute
	// broadcastFactor is multiplied by the binary logarithm of the number of
	// members. The product is the number of times that a change is sent.
	broadcastFactor = 2
	// maxUpdates limits the changed records in one heartbeat.
	maxUpdates = 8
	// maxTombstones limits the records of dead instances in one exchange of
	// records.
	maxTombstones = 256
)

// memberEntry is what the table holds about one instance.
type memberEntry struct {
	record
	conditionChangedAt time.Time   // when the condition or incarnation last changed
	refuteDeadline     time.Time   // when a suspect is declared dead unless it refutes the suspicion
	rejoins            []time.Time // times of the rejoins within flapWindow
	dampedUntil        time.Time
	countsAsKnown      bool // dead, but still counted in View.KnownCount
	broadcastsLeft     int  // how many more times the record is to be sent
}

// memberTable holds the records of this instance and of all others. It does no
// I/O and reads no clock. It is not safe for concurrent use.
type memberTable struct {
	self              record
	suspicionTimeout  time.Duration
	retention         time.Duration
	knownRetention    time.Duration
	countEvent        func(Event) // called for each event that is to be counted
	entries           map[netip.AddrPort]*memberEntry
	revision          uint64 // rises at each change of the table
	suppressBroadcast bool   // set while applying records that others already have

	digestRevision uint64 // the revision that cachedDigests belongs to
	cachedDigests  map[string]uint64
}

func newMemberTable(self record, o Options, count func(Event)) *memberTable {
	t := &memberTable{
		self:             self,
		suspicionTimeout: o.SuspicionTimeout,
		retention:        o.Retention,
		knownRetention:   o.KnownRetention,
		countEvent:       count,
	}
	t.entries = make(map[netip.AddrPort]*memberEntry)
	t.revision++
	return t
}

// updateSelf changes this instance's own record, which every heartbeat carries.
func (t *memberTable) updateSelf(change func(r *record)) {
	before := t.self
	change(&t.self)
	if t.self == before {
		return
	}
	t.self.Sequence++
	t.revision++
}

// broadcastCount returns how many times a record that changes now is to be
// sent.
func (t *memberTable) broadcastCount() int {
	if t.suppressBroadcast {
		return 0
	}
	return broadcastFactor * bits.Len(uint(len(t.entries)+1))
}

// apply merges a record received from another instance.
func (t *memberTable) apply(r record, now time.Time) {
	if r.Address == t.self.Address {
		t.refute(r)
		return
	}
	e, known := t.entries[r.Address]
	if !known {
		t.add(r, now)
		return
	}
	if r.compare(e.record) <= 0 {
		return
	}
	if r.Condition == dead && e.Condition != dead {
		// A single report of a death only makes the instance a suspect.
		r.Condition = suspected
		if r.compare(e.record) <= 0 {
			return
		}
	}
	t.replace(e, r, now)
}

// add enters an instance that was not known.
func (t *memberTable) add(r record, now time.Time) {
	e := &memberEntry{record: r, conditionChangedAt: now}
	t.entries[r.Address] = e
	if r.Condition == suspected {
		e.refuteDeadline = now.Add(t.suspicionTimeout)
	}
	e.broadcastsLeft = t.broadcastCount()
	t.revision++
}

// replace gives an entry a newer record and schedules its broadcasts. It sets
// the deadline of a new suspect and counts a rejoin.
func (t *memberTable) replace(e *memberEntry, r record, now time.Time) {
	before := e.record
	e.record = r
	e.countsAsKnown = false
	e.broadcastsLeft = t.broadcastCount()
	t.revision++
	if before.Condition == r.Condition && before.Incarnation == r.Incarnation {
		return
	}
	e.conditionChangedAt = now
	if r.Condition == suspected && before.Condition != suspected {
		e.refuteDeadline = now.Add(t.suspicionTimeout)
		t.countEvent(Suspected)
	}
	if before.Condition == dead || before.Incarnation != r.Incarnation {
		t.recordRejoin(e, now)
	}
}

// recordRejoin counts a rejoin and damps an instance that rejoins too often. The
// damping time doubles with each further rejoin, from minDamping to maxDamping.
func (t *memberTable) recordRejoin(e *memberEntry, now time.Time) {
	t.countEvent(Rejoined)
	e.rejoins = slices.DeleteFunc(e.rejoins, func(at time.Time) bool { return now.Sub(at) > flapWindow })
	e.rejoins = append(e.rejoins, now)
	excess := len(e.rejoins) - undampedRejoins
	if excess <= 0 {
		return
	}
	t.countEvent(DampedRejoin)
	damping := min(minDamping<<min(excess-1, 8), maxDamping)
	e.dampedUntil = now.Add(damping)
}

// refute handles a record of this instance that another instance sent. If the
// record says that this instance is suspected or dead, refute raises the
// sequence number, so that this instance's own record replaces the received one
// everywhere. If the record has a higher incarnation or sequence number than
// this process ever sent, it is from an earlier process at the address. Then
// refute raises the incarnation number above the record's.
func (t *memberTable) refute(r record) {
	receivedVersion := record{Incarnation: r.Incarnation, Sequence: r.Sequence}
	switch {
	case receivedVersion.compare(record{Incarnation: t.self.Incarnation, Sequence: t.self.Sequence}) > 0:
		t.self.Incarnation = r.Incarnation + 1
		t.self.Sequence = 0
	case r.compare(t.self) > 0:
		t.self.Sequence++
	default:
		return
	}
	if r.Condition == dead {
		t.dropDead()
	}
	t.countEvent(Refuted)
	t.revision++
}

// dropDead removes all dead instances from the table. It is called when others
// have declared this instance dead: this instance was then cut off and had no
// basis to declare others dead.
func (t *memberTable) dropDead() {
	for a, e := range t.entries {
		if e.Condition == dead {
			delete(t.entries, a)
		}
	}
	t.revision++
}

// suspect makes the instance with the record r a suspect. It is called when
// neither this instance nor others could reach that instance. If the table's
// record has changed meanwhile, suspect does nothing.
func (t *memberTable) suspect(r record, now time.Time) {
	e, known := t.entries[r.Address]
	if !known || e.Condition != alive || e.record != r {
		return
	}
	r.Condition = suspected
	t.replace(e, r, now)
}

// expire declares suspects dead at their deadline, and ends damping and the
// retention of dead instances. If this process was paused, expire extends the
// deadlines by the duration of the pause, since no refutation could arrive
// meanwhile.
func (t *memberTable) expire(now time.Time, pause time.Duration) {
	for a, e := range t.entries {
		if pause > 0 {
			e.refuteDeadline = e.refuteDeadline.Add(pause)
		}
		switch {
		case e.Condition == suspected && !now.Before(e.refuteDeadline):
			t.markDead(e, now)
		case e.Condition == dead && now.Sub(e.conditionChangedAt) >= t.retention:
			delete(t.entries, a)
			t.revision++
		case e.countsAsKnown && now.Sub(e.conditionChangedAt) >= t.knownRetention:
			e.countsAsKnown = false
			t.revision++
		case !e.dampedUntil.IsZero() && !now.Before(e.dampedUntil):
			e.dampedUntil = time.Time{}
			t.revision++
		}
	}
}

// markDead declares an instance dead. Unless the instance announced a leave,
// View.KnownCount still counts it until knownRetention has passed.
func (t *memberTable) markDead(e *memberEntry, now time.Time) {
	e.Condition = dead
	e.conditionChangedAt = now
	e.countsAsKnown = !e.Leaving
	e.broadcastsLeft = t.broadcastCount()
	t.revision++
	t.countEvent(Died)
}

// takeUpdates returns up to maxUpdates records that are still to be broadcast.
// Records with the most broadcasts left come first. For each returned record it
// lowers broadcastsLeft by one.
func (t *memberTable) takeUpdates() []record {
	var pending []*memberEntry
	for _, e := range t.entries {
		if e.broadcastsLeft > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *memberEntry) int {
		return cmp.Or(cmp.Compare(b.broadcastsLeft, a.broadcastsLeft), a.Address.Compare(b.Address))
	})
	var out []record
	for _, e := range pending[:min(len(pending), maxUpdates)] {
		e.broadcastsLeft--
		out = append(out, e.record)
	}
	return out
}

// digests returns, by data centre, the digest over the records of the instances
// that are not dead. The caller must not change the map.
func (t *memberTable) digests() map[string]uint64 {
	if t.digestRevision == t.revision {
		return t.cachedDigests
	}
	t.digestRevision = t.revision
	t.cachedDigests = map[string]uint64{t.self.DataCentre: t.self.hash()}
	for _, e := range t.entries {
		if e.Condition != dead {
			t.cachedDigests[e.DataCentre] ^= e.hash()
		}
	}
	return t.cachedDigests
}

// digest returns one digest over all data centres.
func (t *memberTable) digest() uint64 {
	var sum uint64
	for _, d := range t.digests() {
		sum ^= d
	}
	return sum
}

// differingRecords compares this instance's digests with those of another
// instance, which the argument theirs holds. It returns this instance's record
// and the records of the data centres whose digests differ. It includes at most
// maxTombstones records of dead instances.
func (t *memberTable) differingRecords(theirs map[string]uint64) []record {
	ours := t.digests()
	out := []record{t.self}
	tombstones := 0
	for _, e := range t.entries {
		if ours[e.DataCentre] == theirs[e.DataCentre] {
			continue
		}
		if e.Condition == dead {
			tombstones++
		}
		if e.Condition != dead || tombstones <= maxTombstones {
			out = append(out, e.record)
		}
	}
	return out
}
