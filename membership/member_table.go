package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// Limits of the table.
const (
	// flapWindow is the time over which an instance's returns are counted.
	flapWindow = time.Minute
	// freeReturns is the number of returns within flapWindow without damping.
	freeReturns = 1
	// minDamping and maxDamping bound the time for which one is damped.
	minDamping = 5 * time.Second
	maxDamping = time.Minute
	// gossipFactor times the logarithm of the number of members is how often a
	// change is sent on.
	gossipFactor = 2
	// maxUpdates bounds the changes in one heartbeat.
	maxUpdates = 8
	// maxTombstones bounds the dead in one exchange of records.
	maxTombstones = 256
)

// entry is one instance in the table.
type entry struct {
	record
	changed     time.Time // of the condition
	deadline    time.Time // until which a suspect may refute
	returns     []time.Time
	dampedUntil time.Time
	counted     bool // as known, though dead
	gossip      int  // how often the record is still to be sent on
}

// table holds the records of all other instances and the own one. It does no
// I/O and reads no clock. It is not safe for concurrent use.
type table struct {
	self      record
	suspicion time.Duration
	retention time.Duration
	knownFor  time.Duration
	count     func(Event)
	entries   map[netip.AddrPort]*entry
	revision  uint64
	quiet     bool // what is applied now is known to others already

	digested  uint64 // revision of the cached digests
	digestsBy map[string]uint64
}

func newTable(self record, o Options, count func(Event)) *table {
	t := &table{
		self:      self,
		suspicion: o.SuspicionTimeout,
		retention: o.Retention,
		knownFor:  o.KnownRetention,
		count:     count,
	}
	t.entries = make(map[netip.AddrPort]*entry)
	t.revision++
	return t
}

// updateSelf changes the own record, which goes out with each heartbeat.
func (t *table) updateSelf(change func(r *record)) {
	before := t.self
	change(&t.self)
	if t.self == before {
		return
	}
	t.self.Sequence++
	t.revision++
}

// spread returns how often a change is to be sent on.
func (t *table) spread() int {
	if t.quiet {
		return 0
	}
	return gossipFactor * bits.Len(uint(len(t.entries)+1))
}

// apply takes a record that another instance told.
func (t *table) apply(r record, now time.Time) {
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
		// One's word is a suspicion only.
		r.Condition = suspected
		if r.compare(e.record) <= 0 {
			return
		}
	}
	t.replace(e, r, now)
}

func (t *table) add(r record, now time.Time) {
	e := &entry{record: r, changed: now}
	t.entries[r.Address] = e
	if r.Condition == suspected {
		e.deadline = now.Add(t.suspicion)
	}
	e.gossip = t.spread()
	t.revision++
}

func (t *table) replace(e *entry, r record, now time.Time) {
	before := e.record
	e.record = r
	e.counted = false
	e.gossip = t.spread()
	t.revision++
	if before.Condition == r.Condition && before.Incarnation == r.Incarnation {
		return
	}
	e.changed = now
	if r.Condition == suspected && before.Condition != suspected {
		e.deadline = now.Add(t.suspicion)
		t.count(Suspected)
	}
	if before.Condition == dead || before.Incarnation != r.Incarnation {
		t.noteReturn(e, now)
	}
}

// noteReturn damps an instance that came back too often.
func (t *table) noteReturn(e *entry, now time.Time) {
	t.count(Rejoined)
	e.returns = slices.DeleteFunc(e.returns, func(at time.Time) bool { return now.Sub(at) > flapWindow })
	e.returns = append(e.returns, now)
	excess := len(e.returns) - freeReturns
	if excess <= 0 {
		return
	}
	t.count(DampedRejoin)
	hold := min(minDamping<<min(excess-1, 8), maxDamping)
	e.dampedUntil = now.Add(hold)
}

// refute answers a record of the own instance that is not the own one. A
// record that this process never sent is one of an earlier process at the
// address, whose incarnation number must be passed.
func (t *table) refute(r record) {
	earlier := record{Incarnation: r.Incarnation, Sequence: r.Sequence}
	switch {
	case earlier.compare(record{Incarnation: t.self.Incarnation, Sequence: t.self.Sequence}) > 0:
		t.self.Incarnation = r.Incarnation + 1
		t.self.Sequence = 0
	case r.compare(t.self) > 0:
		t.self.Sequence++
	default:
		return
	}
	if r.Condition == dead {
		t.forgetDead()
	}
	t.count(Refuted)
	t.revision++
}

// forgetDead drops the own verdicts of death. Who was held dead by others was
// cut off and judged without evidence.
func (t *table) forgetDead() {
	for a, e := range t.entries {
		if e.Condition == dead {
			delete(t.entries, a)
		}
	}
	t.revision++
}

// suspect marks an instance that neither answered nor was reached by others,
// unless its record changed meanwhile.
func (t *table) suspect(r record, now time.Time) {
	e, known := t.entries[r.Address]
	if !known || e.Condition != alive || e.record != r {
		return
	}
	r.Condition = suspected
	t.replace(e, r, now)
}

// expire ends suspicions, damping and the memory of the dead. Pause is for how
// long this process did not run: it counts for nobody's silence.
func (t *table) expire(now time.Time, pause time.Duration) {
	for a, e := range t.entries {
		if pause > 0 {
			e.deadline = e.deadline.Add(pause)
		}
		switch {
		case e.Condition == suspected && !now.Before(e.deadline):
			t.kill(e, now)
		case e.Condition == dead && now.Sub(e.changed) >= t.retention:
			delete(t.entries, a)
			t.revision++
		case e.counted && now.Sub(e.changed) >= t.knownFor:
			e.counted = false
			t.revision++
		case !e.dampedUntil.IsZero() && !now.Before(e.dampedUntil):
			e.dampedUntil = time.Time{}
			t.revision++
		}
	}
}

func (t *table) kill(e *entry, now time.Time) {
	e.Condition = dead
	e.changed = now
	e.counted = !e.Leaving
	e.gossip = t.spread()
	t.revision++
	t.count(Died)
}

// updates picks the changes that were sent the least.
func (t *table) updates() []record {
	var pending []*entry
	for _, e := range t.entries {
		if e.gossip > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.gossip, a.gossip), a.Address.Compare(b.Address))
	})
	var out []record
	for _, e := range pending[:min(len(pending), maxUpdates)] {
		e.gossip--
		out = append(out, e.record)
	}
	return out
}

// digests returns one digest for each data centre. The dead do not count. The
// caller must not change the map.
func (t *table) digests() map[string]uint64 {
	if t.digested == t.revision {
		return t.digestsBy
	}
	t.digested = t.revision
	t.digestsBy = map[string]uint64{t.self.DataCentre: t.self.hash()}
	for _, e := range t.entries {
		if e.Condition != dead {
			t.digestsBy[e.DataCentre] ^= e.hash()
		}
	}
	return t.digestsBy
}

// digest returns one digest over all data centres.
func (t *table) digest() uint64 {
	var sum uint64
	for _, d := range t.digests() {
		sum ^= d
	}
	return sum
}

// differing returns the records of the data centres whose digests are not
// those of the other side, and the own record.
func (t *table) differing(theirs map[string]uint64) []record {
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
