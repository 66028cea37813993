package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// reportLife is how long a peer's report counts without a newer one.
const reportLife = 1500 * time.Millisecond

// ServerReport is what one instance tells the others of a server.
type ServerReport struct {
	_    struct{} `cbor:",toarray"`
	Key  uint64
	Load Load
	// Sends, Failures, Expected and Observed are this instance's evidence, in
	// hundredths.
	Sends, Failures    uint32
	Expected, Observed uint32
	// Parts are the shared parts of prompts that were sent there lately.
	Parts []uint64
}

// hundredths writes an amount of evidence for a report.
func hundredths(amount float64) uint32 { return uint32(min(amount*100+0.5, math.MaxUint32)) }

// amount reads what hundredths wrote.
func amount(h uint32) float64 { return float64(h) / 100 }

// peerReport is what a peer reported last.
type peerReport struct {
	at         time.Time
	dataCentre string
	servers    map[uint64]ServerReport
}

// minReported is the least evidence that is worth reporting.
const minReported = 0.05

// Reports returns what this instance tells the others, the servers with the most
// of its work first: a message may not hold them all.
func (t *Balancer) Reports(now time.Time) []ServerReport {
	var reports []ServerReport
	for key, s := range t.servers {
		s.evidence.fade(now)
		e := s.evidence
		parts := s.toTell(now)
		if s.own == (Load{}) && e.sends < minReported && len(parts) == 0 {
			continue
		}
		reports = append(reports, ServerReport{
			Key: key, Load: s.own,
			Sends: hundredths(e.sends), Failures: hundredths(e.failures),
			Expected: hundredths(e.expected), Observed: hundredths(e.observed),
			Parts: parts,
		})
	}
	slices.SortFunc(reports, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(b.Load.Running, a.Load.Running), cmp.Compare(a.Key, b.Key))
	})
	return reports
}

// ReceiveReports takes in the report of a peer in a data centre, which replaces its
// last one.
func (t *Balancer) ReceiveReports(peer, dataCentre string, reports []ServerReport, now time.Time) {
	t.RecordContact(dataCentre, now)
	t.dropReport(peer, now)
	kept := &peerReport{at: now, dataCentre: dataCentre, servers: make(map[uint64]ServerReport, len(reports))}
	for _, r := range reports {
		kept.servers[r.Key] = r
		t.addReport(r, 1, now)
		s := t.row(r.Key)
		s.kept.addIDs(r.Parts, now)
		if dataCentre == t.opts.DataCentre {
			s.passOn(r.Parts, now)
		}
	}
	t.peers[peer] = kept
}

// ExpireReports drops the reports of peers that fell silent.
func (t *Balancer) ExpireReports(now time.Time) {
	for peer, r := range t.peers {
		if now.Sub(r.at) > reportLife {
			t.dropReport(peer, now)
		}
	}
	t.expireDigests(now)
}

func (t *Balancer) dropReport(peer string, now time.Time) {
	old, ok := t.peers[peer]
	if !ok {
		return
	}
	delete(t.peers, peer)
	for _, r := range old.servers {
		t.addReport(r, -1, now)
	}
}

// addReport adds a report to the sums over all peers, or takes it out again.
// Evidence that faded since it came is taken out as far as it is left.
func (t *Balancer) addReport(r ServerReport, sign float64, now time.Time) {
	s, known := t.servers[r.Key]
	if !known && sign < 0 {
		return
	}
	if !known {
		s = t.row(r.Key)
	}
	if sign > 0 {
		s.others = s.others.plus(r.Load)
	} else {
		s.others = s.others.minus(r.Load)
	}
	e := &s.otherEvidence
	e.fade(now)
	e.sends = max(e.sends+sign*amount(r.Sends), 0)
	e.failures = max(e.failures+sign*amount(r.Failures), 0)
	e.expected = max(e.expected+sign*amount(r.Expected), 0)
	e.observed = max(e.observed+sign*amount(r.Observed), 0)
}
