package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReports and maxReportBytes bound the reports in one datagram.
	maxReports     = 12
	maxReportBytes = 400
	// maxAnsweredReports is the number of these reports that may state that a part was
	// answered, and rankedReports the number that go to the parts with the most servers.
	// The others are drawn, so that each part has its turn.
	maxAnsweredReports = 8
	rankedReports      = 6
	// Upper bounds of the encoded bytes of a report without its servers, and of a server.
	reportBytes, serverBytes = 21, 5
	// tellFirstFor is how long a part under which one server ended is reported. Each
	// instance gets several datagrams in that time. Nearly all such parts are sound.
	tellFirstFor = 10 * time.Second
	// tellAnsweredFor is how long a part is reported as answered after it was last
	// suspected.
	tellAnsweredFor = 5 * time.Second
	// clearedFor is how long another instance's word that a part was answered counts.
	clearedFor = time.Minute
)

// Report is what an instance tells the others about a part.
type Report struct {
	_   struct{} `cbor:",toarray"`
	Key uint64
	// Level is the number of failed tries, and Servers are the keys of the servers that
	// ended under the part since the last one. There are none if the part was answered.
	Level   int
	Servers []uint64
	// AgeMs is how long ago the newest end became known, in milliseconds.
	AgeMs int64
	// TryAgeMs is how long ago the sender tried the part, in milliseconds, or 0 if it did
	// not do so lately.
	TryAgeMs int64
}

// Reports returns the reports for the next datagrams: answered parts that others suspect,
// parts under which this instance saw a server end, and parts that may be withheld.
func (g *Guard) Reports(now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) == 0 && len(g.toTell) == 0 {
		return nil
	}
	g.expire(now)
	reports := g.answeredReports()
	left := maxReportBytes - reportBytes*len(reports)
	for _, report := range g.suspectReports(now) {
		left -= reportBytes + serverBytes*len(report.Servers)
		if left < 0 || len(reports) == maxReports {
			break
		}
		reports = append(reports, report)
	}
	return reports
}

// answeredReports returns reports on some of the parts in toTell. They are drawn, so that
// all parts have their turn.
func (g *Guard) answeredReports() []Report {
	parts := slices.Sorted(maps.Keys(g.toTell))
	g.random.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	var reports []Report
	for _, part := range parts[:min(len(parts), maxAnsweredReports)] {
		reports = append(reports, Report{Key: part})
	}
	return reports
}

// suspectReports returns reports on suspects, the most important ones first.
func (g *Guard) suspectReports(now time.Time) []Report {
	var reports []Report
	for part, s := range g.suspects {
		age := now.Sub(s.newest)
		firsthand := s.own && (len(s.servers) > 1 || age < tellFirstFor)
		if s.isNews(now) && (firsthand || s.convicted()) {
			// Later changes replace the slice of servers as a whole.
			report := Report{Key: part, Level: s.level, Servers: s.servers, AgeMs: age.Milliseconds()}
			if tryAge := now.Sub(s.ownTry); s.convicted() && tryAge < tryInterval {
				report.TryAgeMs = max(tryAge.Milliseconds(), 1)
			}
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Key, b.Key))
	})
	if len(reports) > rankedReports {
		rest := reports[rankedReports:]
		g.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	return reports
}

// Receive takes in the reports of another instance.
func (g *Guard) Receive(reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReports)] {
		if len(report.Servers) == 0 {
			g.receiveAnswered(report.Key, now)
		} else {
			g.receiveSuspect(report, now)
		}
	}
}

// receiveAnswered takes another instance's word that a part was answered. It is not passed
// on, so that it can't outlive the answer by going round.
func (g *Guard) receiveAnswered(part uint64, now time.Time) {
	delete(g.suspects, part)
	if len(g.cleared) >= maxParts {
		expireTimes(g.cleared, now)
	}
	if len(g.cleared) < maxParts {
		g.cleared[part] = now.Add(clearedFor)
	}
}

func (g *Guard) receiveSuspect(r Report, now time.Time) {
	if g.answered(r.Key).has(r.Key, now) {
		g.tellAnswered(r.Key, now)
		return
	}
	const maxAge = int64(24 * time.Hour / time.Millisecond)
	age := time.Duration(min(max(r.AgeMs, 0), maxAge)) * time.Millisecond
	evidence := suspect{level: max(r.Level, 0), servers: r.Servers[:min(len(r.Servers), maxServers)], newest: now.Add(-age)}
	if evidence.isNews(now) && !g.knownAnswered(r.Key, now) {
		g.merge(r.Key, evidence, now)
	}
	if s, ok := g.suspects[r.Key]; ok && r.TryAgeMs > 0 {
		try := now.Add(-time.Duration(min(r.TryAgeMs, maxAge)) * time.Millisecond)
		if try.After(s.lastTry) {
			s.lastTry = try
		}
	}
}

// tellAnswered has the next reports state that a part was answered.
func (g *Guard) tellAnswered(part uint64, now time.Time) {
	if len(g.toTell) >= maxParts {
		expireTimes(g.toTell, now)
	}
	if len(g.toTell) < maxParts {
		g.toTell[part] = now.Add(tellAnsweredFor)
	}
}

// knownAnswered reports whether this instance or another one saw the part answered lately.
func (g *Guard) knownAnswered(part uint64, now time.Time) bool {
	return g.answered(part).has(part, now) || now.Before(g.cleared[part])
}
