package balancer

// The load this answers: hundreds of instances. If each told each what it does,
// what they tell would outweigh the requests. So the instances of a data centre
// tell each other, and one of them tells the other data centres the sums.

import (
	"cmp"
	"slices"
	"time"
)

// digestRow is the last sum that a data centre told of a server.
type digestRow struct {
	at     time.Time
	report ServerReport
}

// digest is what a data centre told, by the server's key.
type digest map[uint64]digestRow

// emptyFor is for how long a server without any more work is told of, so that
// the others don't count on the work it had.
const emptyFor = 700 * time.Millisecond

// Summary returns the sums over the instances of this data centre, in the order
// of the servers' keys.
func (t *Balancer) Summary(now time.Time) []ServerReport {
	sums := make(map[uint64]*ServerReport)
	for _, r := range t.Reports(now) {
		sums[r.Key] = &r
	}
	for _, peer := range t.peers {
		if peer.dataCentre != t.opts.DataCentre {
			continue
		}
		for key, r := range peer.servers {
			if sum, ok := sums[key]; ok {
				sum.add(r)
				continue
			}
			r.Parts = nil
			sums[key] = &r
		}
	}
	var out []ServerReport
	for key, sum := range sums {
		s := t.row(key)
		sum.Parts = s.toPassOn(sum.Parts, now)
		s.busyAt = now
		out = append(out, *sum)
	}
	for key, s := range t.servers {
		if sums[key] == nil && now.Sub(s.busyAt) < emptyFor {
			out = append(out, ServerReport{Key: key})
		}
	}
	slices.SortFunc(out, func(a, b ServerReport) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (r *ServerReport) add(o ServerReport) {
	r.Load = r.Load.plus(o.Load)
	r.Sends += o.Sends
	r.Failures += o.Failures
	r.Expected += o.Expected
	r.Observed += o.Observed
}

// ReceiveSummary takes in sums that another data centre told of some servers. They
// take the place of what its instances told themselves.
func (t *Balancer) ReceiveSummary(dataCentre string, reports []ServerReport, now time.Time) {
	t.RecordContact(dataCentre, now)
	for name, peer := range t.peers {
		if peer.dataCentre == dataCentre {
			t.dropReport(name, now)
		}
	}
	d, ok := t.digests[dataCentre]
	if !ok {
		d = make(digest)
		t.digests[dataCentre] = d
	}
	for _, r := range reports {
		if old, ok := d[r.Key]; ok {
			t.addReport(old.report, -1, now)
		}
		d[r.Key] = digestRow{now, r}
		t.addReport(r, 1, now)
		t.row(r.Key).kept.addIDs(r.Parts, now)
	}
}

// expireDigests drops the sums that were not told again.
func (t *Balancer) expireDigests(now time.Time) {
	for _, d := range t.digests {
		for key, row := range d {
			if now.Sub(row.at) > reportLife {
				t.addReport(row.report, -1, now)
				delete(d, key)
			}
		}
	}
}

// passOn remembers parts that an instance of this data centre told of, for the
// next digests.
func (s *server) passOn(ids []uint64, now time.Time) {
	s.passed = slices.DeleteFunc(s.passed, func(p toldPart) bool { return now.Sub(p.at) > tellFor })
	for _, id := range ids {
		if !slices.ContainsFunc(s.passed, func(p toldPart) bool { return p.id == id }) {
			s.passed = append(s.passed, toldPart{id, now})
		}
	}
}

// toPassOn adds the parts that others told of to this instance's own.
func (s *server) toPassOn(own []uint64, now time.Time) []uint64 {
	for _, p := range s.passed {
		if now.Sub(p.at) <= tellFor && !slices.Contains(own, p.id) {
			own = append(own, p.id)
		}
	}
	return own
}
