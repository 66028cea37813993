package balancer

// How many replicas a service needs depends on how many prompt tokens arrive in a second that no
// cache holds. Prompts differ in length by a factor of 100, so the requests of one instance say
// little. The instances report to each other how many tokens they sent.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// prefillRateHalfLife is the time in which the sum of tokens loses half of its weight.
	prefillRateHalfLife = time.Second
	// maxPrefillReports bounds the services that an instance reports.
	maxPrefillReports = 8
)

// PrefillReport is what an instance reports to its peers about the prompts that it recently sent
// to the servers of one service.
type PrefillReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is a hash of the service's name.
	Service uint64
	// TokensPerSecond counts the prompt tokens that the servers had to read, because their
	// caches presumably didn't hold them.
	TokensPerSecond uint32
}

// prefillRate is a decaying sum of the tokens that were sent to one service.
type prefillRate struct {
	tokens    float64
	decayedAt time.Time
}

func (p *prefillRate) decay(now time.Time) {
	if age := now.Sub(p.decayedAt); age > 0 {
		p.tokens *= math.Exp2(-age.Seconds() / prefillRateHalfLife.Seconds())
		p.decayedAt = now
	}
}

// serviceHash stands for a service in reports between instances.
func serviceHash(name string) uint64 { return xxhash.Sum64String(name) >> 32 }

// countPrefill counts prompt tokens that a server of the service has to read. They matter only if
// servers can be ordered.
func (b *Balancer) countPrefill(service catalog.Service, tokens int, now time.Time) {
	if tokens <= 0 || service.Autoscale == nil {
		return
	}
	key := serviceHash(service.Name)
	rate, ok := b.prefillRates[key]
	if !ok {
		rate = &prefillRate{decayedAt: now}
		b.prefillRates[key] = rate
	}
	rate.decay(now)
	rate.tokens += float64(tokens)
}

// PrefillReports returns this instance's reports for its peers, ordered by service.
func (b *Balancer) PrefillReports(now time.Time) []PrefillReport {
	var reports []PrefillReport
	for key, rate := range b.prefillRates {
		rate.decay(now)
		perSecond := rate.tokens * math.Ln2 / prefillRateHalfLife.Seconds()
		if perSecond < 1 {
			delete(b.prefillRates, key)
			continue
		}
		reports = append(reports, PrefillReport{Service: key, TokensPerSecond: uint32(min(perSecond, math.MaxUint32))})
	}
	slices.SortFunc(reports, func(a, b PrefillReport) int { return cmp.Compare(a.Service, b.Service) })
	return reports[:min(len(reports), maxPrefillReports)]
}

// ReceivePrefillReports stores the reports of a peer. They replace the previous ones, and count
// for as long as the peer's reports on servers. ReceiveReports must be called before.
func (b *Balancer) ReceivePrefillReports(peer string, reports []PrefillReport) {
	if known, ok := b.peers[peer]; ok {
		known.prefill = reports
	}
}

// prefillOf returns the tokens a second that the reports state for a service, and whether they
// state any.
func prefillOf(reports []PrefillReport, service uint64) (perSecond float64, stated bool) {
	for _, r := range reports {
		if r.Service == service {
			return float64(r.TokensPerSecond), true
		}
	}
	return 0, false
}
