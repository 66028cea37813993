package balancer

// Each instance knows only its own requests. So the instances report their
// running requests and statistics to each other. Each instance then adds up the
// load of every server.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// reportTimeout is how long a report counts if the peer sends no newer report.
const reportTimeout = 1500 * time.Millisecond

// ServerReport is what an instance reports to its peers about a server.
type ServerReport struct {
	_    struct{} `cbor:",toarray"`
	Key  uint64
	Load Load
	// Sends and Failures count attempts. ExpectedDelay and ObservedDelay sum
	// the expected and the observed times to the first event, in seconds. All
	// four numbers decay over time and are given in hundredths.
	Sends, Failures              uint32
	ExpectedDelay, ObservedDelay uint32
	// PrefixBlocks are the IDs of the shared prefix blocks recently sent to the
	// server.
	PrefixBlocks []uint64
}

// toHundredths encodes a statistic for a report.
func toHundredths(amount float64) uint32 { return uint32(min(amount*100+0.5, math.MaxUint32)) }

// fromHundredths decodes a statistic of a report.
func fromHundredths(hundredths uint32) float64 { return float64(hundredths) / 100 }

// peerReport holds the last reports of one peer, by server key.
type peerReport struct {
	receivedAt time.Time
	dataCentre string
	servers    map[uint64]ServerReport
	urgencies  []UrgencyReport
	prefill    []PrefillReport
}

// minReportedSends is a decayed number of attempts. A server without running
// requests is still reported if its decayed number of attempts is at least
// minReportedSends.
const minReportedSends = 0.05

// Reports returns this instance's reports for its peers. One message may be
// too small for all reports. So the servers at which this instance has the most
// running requests come first.
func (b *Balancer) Reports(now time.Time) []ServerReport {
	var reports []ServerReport
	for key, s := range b.servers {
		s.localStats.decay(now)
		stats := s.localStats
		blocks := s.blocksToReport(now)
		if s.localLoad == (Load{}) && stats.sends < minReportedSends && len(blocks) == 0 {
			continue
		}
		reports = append(reports, ServerReport{
			Key: key, Load: s.localLoad,
			Sends: toHundredths(stats.sends), Failures: toHundredths(stats.failures),
			ExpectedDelay: toHundredths(stats.expectedSeconds), ObservedDelay: toHundredths(stats.observedSeconds),
			PrefixBlocks: blocks,
		})
	}
	slices.SortFunc(reports, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(b.Load.Running, a.Load.Running), cmp.Compare(a.Key, b.Key))
	})
	return reports
}

// ReceiveReports stores the reports that a peer of the given data centre sent.
// They replace the previous reports of the same peer.
func (b *Balancer) ReceiveReports(peer, dataCentre string, reports []ServerReport, now time.Time) {
	b.RecordContact(dataCentre, now)
	b.dropReport(peer, now)
	received := &peerReport{receivedAt: now, dataCentre: dataCentre, servers: make(map[uint64]ServerReport, len(reports))}
	for _, r := range reports {
		received.servers[r.Key] = r
		b.applyReport(r, 1, now)
		s := b.serverState(r.Key)
		s.cachedBlocks.addIDs(r.PrefixBlocks, now)
		if dataCentre == b.opts.DataCentre {
			s.recordPeerBlocks(r.PrefixBlocks, now)
		}
	}
	b.peers[peer] = received
}

// ExpireReports drops reports and summary rows that were not replaced by newer
// ones within reportTimeout, and what is known of services that refused nothing lately.
func (b *Balancer) ExpireReports(now time.Time) {
	for peer, report := range b.peers {
		if now.Sub(report.receivedAt) > reportTimeout {
			b.dropReport(peer, now)
		}
	}
	b.expireSummaries(now)
	b.expireLimitedServices(now)
}

// ReportsInUse describes the reports that an instance currently counts.
type ReportsInUse struct {
	// Peers is the number of peers whose own reports count, and DataCentres the
	// number of other data centres whose summaries count.
	Peers, DataCentres int
	// Oldest is the age of the oldest of these reports.
	Oldest time.Duration
}

// ReportsInUse returns the number and the age of the reports that count.
func (b *Balancer) ReportsInUse(now time.Time) ReportsInUse {
	used := ReportsInUse{Peers: len(b.peers)}
	for _, report := range b.peers {
		used.Oldest = max(used.Oldest, now.Sub(report.receivedAt))
	}
	for _, summary := range b.summaries {
		if len(summary) > 0 {
			used.DataCentres++
		}
		for _, row := range summary {
			used.Oldest = max(used.Oldest, now.Sub(row.receivedAt))
		}
	}
	return used
}

// dropReport deletes a peer's reports and subtracts them from the sums over all
// peers.
func (b *Balancer) dropReport(peer string, now time.Time) {
	old, ok := b.peers[peer]
	if !ok {
		return
	}
	delete(b.peers, peer)
	for _, r := range old.servers {
		b.applyReport(r, -1, now)
	}
}

// applyReport changes the sums over all peers. It adds a report if sign is 1
// and subtracts the report if sign is -1. The statistics may have decayed
// between the addition and the subtraction, so they are kept at 0 or above.
func (b *Balancer) applyReport(r ServerReport, sign float64, now time.Time) {
	s, known := b.servers[r.Key]
	if !known && sign < 0 {
		return
	}
	if !known {
		s = b.serverState(r.Key)
	}
	if sign > 0 {
		s.peerLoad = s.peerLoad.plus(r.Load)
	} else {
		s.peerLoad = s.peerLoad.minus(r.Load)
	}
	stats := &s.peerStats
	stats.decay(now)
	stats.sends = max(stats.sends+sign*fromHundredths(r.Sends), 0)
	stats.failures = max(stats.failures+sign*fromHundredths(r.Failures), 0)
	stats.expectedSeconds = max(stats.expectedSeconds+sign*fromHundredths(r.ExpectedDelay), 0)
	stats.observedSeconds = max(stats.observedSeconds+sign*fromHundredths(r.ObservedDelay), 0)
}
