package usage

import (
	"math"
	"slices"
	"time"
)

const (
	// silentAfter is how long after an instance's last own message its sums are passed on to
	// the holder, who may not have got them.
	silentAfter = 1500 * time.Millisecond
	// cutOffTime is how long an instance that fell silent may still be cut off, and count.
	cutOffTime = 20 * time.Second
	// forgetAfter is how long after the last message an instance's sums are kept.
	forgetAfter = 90 * time.Second
	// maxInstances bounds the processes whose sums are kept.
	maxInstances = 2048
)

// process identifies one run of an instance.
type process struct {
	instance uint64
	started  int64
}

// row holds the sums of one process.
type row struct {
	// heardAt is when the process itself last sent, and updatedAt when anybody sent its sums.
	heardAt, updatedAt time.Time
	final              bool
	windows            map[int64]*windowRow
}

type windowRow struct {
	// throughMs is the true time up to which the sums are complete.
	throughMs int64
	sums      map[uint32]uint32
}

// table holds the sums of all processes by window.
type table struct{ rows map[process]*row }

func newTable() *table { return &table{rows: make(map[process]*row)} }

// merge takes in sums. own is set if the process itself sent them.
func (t *table) merge(s InstanceSums, own bool, planned int64, now time.Time) {
	key := process{s.Instance, s.Started}
	r := t.rows[key]
	if r == nil {
		if len(t.rows) >= maxInstances {
			return
		}
		r = &row{windows: make(map[int64]*windowRow)}
		t.rows[key] = r
	}
	r.updatedAt = now
	if own {
		r.heardAt = now
	}
	r.final = r.final || s.Final
	for _, w := range s.Windows {
		if w.Window >= planned {
			r.merge(w, s.ThroughMs)
		}
	}
}

func (r *row) merge(w WindowSums, throughMs int64) {
	mine := r.windows[w.Window]
	if mine == nil {
		mine = &windowRow{sums: make(map[uint32]uint32, len(w.Sums))}
		r.windows[w.Window] = mine
		r.dropOldest()
	}
	mine.throughMs = max(mine.throughMs, throughMs)
	for _, s := range w.Sums {
		if _, known := mine.sums[s.Organisation]; known || len(mine.sums) < maxOrganisations {
			mine.sums[s.Organisation] = max(mine.sums[s.Organisation], s.Count)
		}
	}
}

// dropOldest keeps the row bounded while nobody reports.
func (r *row) dropOldest() {
	for len(r.windows) > maxWindowsPerInstance {
		oldest := int64(math.MaxInt64)
		for w := range r.windows {
			oldest = min(oldest, w)
		}
		delete(r.windows, oldest)
	}
}

// forget drops the windows before planned, and the processes that were not heard of for long.
func (t *table) forget(planned int64, now time.Time) {
	for key, r := range t.rows {
		for w := range r.windows {
			if w < planned {
				delete(r.windows, w)
			}
		}
		if now.Sub(r.updatedAt) > forgetAfter {
			delete(t.rows, key)
		}
	}
}

// total returns the sums of a window over all processes, and how many processes counted some.
func (t *table) total(window int64) (sums map[uint32]int64, processes int) {
	sums = make(map[uint32]int64)
	for _, r := range t.rows {
		w := r.windows[window]
		if w == nil || len(w.sums) == 0 {
			continue
		}
		processes++
		for org, n := range w.sums {
			sums[org] += int64(n)
		}
	}
	return sums, processes
}

// missing returns how many instances may have counted requests of a window that are not in the
// sums: those that run, which live lists, and those that were heard of lately and may be cut off.
// expected is the number of all of these, the complete ones included. endMs is the window's end.
func (t *table) missing(window, endMs int64, live []uint64, now time.Time) (missing, expected int) {
	newest := make(map[uint64]int64)
	complete := make(map[uint64]bool)
	for key, r := range t.rows {
		newest[key.instance] = max(newest[key.instance], key.started)
		if w := r.windows[window]; w != nil && w.throughMs >= endMs {
			complete[key.instance] = true
		}
	}
	expected = len(live)
	for _, instance := range live {
		if !complete[instance] {
			missing++
		}
	}
	for key, r := range t.rows {
		gone := r.final || key.started < newest[key.instance] || now.Sub(r.updatedAt) > cutOffTime
		if gone || slices.Contains(live, key.instance) {
			continue
		}
		expected++
		if !complete[key.instance] {
			missing++
		}
	}
	return missing, expected
}

// silent returns the sums of the processes that don't send any more.
func (t *table) silent(now time.Time) []InstanceSums {
	var out []InstanceSums
	for key, r := range t.rows {
		if len(r.windows) > 0 && !r.heardAt.IsZero() && now.Sub(r.heardAt) > silentAfter {
			out = append(out, r.all(key)...)
		}
	}
	return out
}

// all returns the row's sums. Windows that are complete up to different times are apart.
func (r *row) all(key process) []InstanceSums {
	var out []InstanceSums
	for number, w := range r.windows {
		sums := make([]Sum, 0, len(w.sums))
		for org, n := range w.sums {
			sums = append(sums, Sum{Organisation: org, Count: n})
		}
		out = append(out, InstanceSums{
			Instance: key.instance, Started: key.started, ThroughMs: w.throughMs, Final: r.final,
			Windows: []WindowSums{{Window: number, Sums: sums}},
		})
	}
	return out
}
