package balancer

// If hundreds of instances all sent reports to each other, the reports would
// need more bandwidth than the requests. So instances report only within their
// data centre. One instance of each data centre adds up the reports and sends
// the sums, called a summary, to the other data centres.

import (
	"cmp"
	"slices"
	"time"
)

// summaryRow is the last report on one server that came in a summary of another
// data centre.
type summaryRow struct {
	receivedAt time.Time
	report     ServerReport
}

// dataCentreSummary holds the last rows received from one data centre, by
// server key.
type dataCentreSummary map[uint64]summaryRow

// idleReportPeriod is how long summaries still include a server after its last
// request ended. The summaries report a load of zero for this server, so
// that the other data centres stop counting its earlier load.
const idleReportPeriod = 700 * time.Millisecond

// Summary returns one report for each server, summed over the instances of this
// data centre and ordered by server key.
func (b *Balancer) Summary(now time.Time) []ServerReport {
	sums := make(map[uint64]*ServerReport)
	for _, r := range b.Reports(now) {
		sums[r.Key] = &r
	}
	for _, peer := range b.peers {
		if peer.dataCentre != b.opts.DataCentre {
			continue
		}
		for key, r := range peer.servers {
			if sum, ok := sums[key]; ok {
				sum.add(r)
				continue
			}
			r.PrefixBlocks = nil
			sums[key] = &r
		}
	}
	var out []ServerReport
	for key, sum := range sums {
		s := b.serverState(key)
		sum.PrefixBlocks = s.mergePeerBlocks(sum.PrefixBlocks, now)
		s.lastSummarised = now
		out = append(out, *sum)
	}
	for key, s := range b.servers {
		if sums[key] == nil && now.Sub(s.lastSummarised) < idleReportPeriod {
			out = append(out, ServerReport{Key: key})
		}
	}
	slices.SortFunc(out, func(a, b ServerReport) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// add adds the load and the statistics of another report. It leaves
// PrefixBlocks unchanged.
func (r *ServerReport) add(o ServerReport) {
	r.Load = r.Load.plus(o.Load)
	r.Sends += o.Sends
	r.Failures += o.Failures
	r.ExpectedDelay += o.ExpectedDelay
	r.ObservedDelay += o.ObservedDelay
}

// ReceiveSummary stores reports from the summary of another data centre. The
// reports may cover only some of the servers. The summary replaces all reports
// that instances of the other data centre sent directly to this instance.
func (b *Balancer) ReceiveSummary(dataCentre string, reports []ServerReport, now time.Time) {
	b.RecordContact(dataCentre, now)
	for name, peer := range b.peers {
		if peer.dataCentre == dataCentre {
			b.dropReport(name, now)
		}
	}
	summary, ok := b.summaries[dataCentre]
	if !ok {
		summary = make(dataCentreSummary)
		b.summaries[dataCentre] = summary
	}
	for _, r := range reports {
		if old, ok := summary[r.Key]; ok {
			b.applyReport(old.report, -1, now)
		}
		summary[r.Key] = summaryRow{now, r}
		b.applyReport(r, 1, now)
		b.serverState(r.Key).cachedBlocks.addIDs(r.PrefixBlocks, now)
	}
}

// expireSummaries drops each row that was not replaced by a newer one within
// reportTimeout.
func (b *Balancer) expireSummaries(now time.Time) {
	for _, summary := range b.summaries {
		for key, row := range summary {
			if now.Sub(row.receivedAt) > reportTimeout {
				b.applyReport(row.report, -1, now)
				delete(summary, key)
			}
		}
	}
}

// recordPeerBlocks stores the IDs of blocks that an instance of this data
// centre reported. The next summaries will include them.
func (s *server) recordPeerBlocks(ids []uint64, now time.Time) {
	s.peerBlocks = slices.DeleteFunc(s.peerBlocks, func(block recentBlock) bool { return now.Sub(block.recordedAt) > blockReportPeriod })
	for _, id := range ids {
		if !slices.ContainsFunc(s.peerBlocks, func(block recentBlock) bool { return block.id == id }) {
			s.peerBlocks = append(s.peerBlocks, recentBlock{id, now})
		}
	}
}

// mergePeerBlocks returns the IDs in localIDs, followed by the block IDs that
// peers recently reported. The parameter localIDs holds the IDs of the prompt
// blocks in the requests that this instance sent to the server. The result has
// each ID once.
func (s *server) mergePeerBlocks(localIDs []uint64, now time.Time) []uint64 {
	for _, block := range s.peerBlocks {
		if now.Sub(block.recordedAt) <= blockReportPeriod && !slices.Contains(localIDs, block.id) {
			localIDs = append(localIDs, block.id)
		}
	}
	return localIDs
}
