package loadgen

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// Fleet says how many data centres, engines and plain services a system has.
type Fleet struct {
	DataCentres int
	Engines     int
	Services    int
}

// The present fleets of the two users. CovorulDreptWorkload is sized for
// FleetCovorulDrept, AgendaAndinaWorkload for FleetAgendaAndina.
var (
	FleetCovorulDrept = Fleet{DataCentres: 4, Engines: 18, Services: 4}
	FleetAgendaAndina = Fleet{DataCentres: 4, Engines: 9, Services: 4}
)

// organisationShares holds each organisation's share of all requests. The three
// largest of the ten organisations send 65% of the requests.
var organisationShares = [...]float64{0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

// CovorulDreptWorkload is the workload of a platform for rug appraisers, with a
// steady load apart from one auction. The auction starts at the given time
// after the start of the run: for ten seconds, provenance requests arrive at
// five times their rate. A negative time means no auction.
func CovorulDreptWorkload(auction time.Duration) Workload {
	provenance := Class{
		Name: "provenance",
		Spec: api.ServiceClassSpec{
			Tier: 0, FirstToken: seconds(1), BetweenTokens: seconds(0.1), WholeAnswer: seconds(60), MaxWait: seconds(5),
		},
		Route: "histories", RouteSpec: modelRoute("histories-v1"),
		Rate: 6, PromptLengths: LengthDistribution{Median: 300, Sigma: 0.6, Max: 4000}, AnswerLengths: LengthDistribution{Median: 160, Sigma: 0.7, Max: 1500},
		Prefixes: 12, PrefixTokens: 800, MaxTokens: 2000,
		LeaveShare: 0.02, MeanLeaveAfter: 3 * time.Second, ReturnShare: 0.7,
	}
	lookup := Class{
		Name: "lookup",
		Spec: api.ServiceClassSpec{
			Tier: 1, Floor: 0.05, Default: true,
			FirstToken: seconds(0.5), BetweenTokens: seconds(0.1), WholeAnswer: seconds(10), MaxWait: seconds(3),
		},
		Route: "histories", RouteSpec: modelRoute("histories-v1"),
		Rate: 10, PromptLengths: LengthDistribution{Median: 60, Sigma: 0.5, Max: 500}, AnswerLengths: LengthDistribution{Median: 40, Sigma: 0.5, Max: 200},
		Prefixes: 4, PrefixTokens: 300, MaxTokens: 300, UnaryShare: 0.2,
		LeaveShare: 0.01, MeanLeaveAfter: time.Second, ReturnShare: 0.5,
	}
	review := Class{
		Name:  "review",
		Spec:  api.ServiceClassSpec{Tier: 2, Floor: 0.1, FirstToken: seconds(30), MaxWait: seconds(60)},
		Route: "histories", RouteSpec: modelRoute("histories-v1"),
		Rate: 1, PromptLengths: LengthDistribution{Median: 3000, Sigma: 0.6, Max: 16_000}, AnswerLengths: LengthDistribution{Median: 500, Sigma: 1, Max: 6000},
		Prefixes: 6, PrefixTokens: 2000,
		LeaveShare: 0.02, MeanLeaveAfter: 10 * time.Second, ReturnShare: 0.9,
	}
	certificate := Class{
		Name:  "certificate",
		Spec:  api.ServiceClassSpec{Tier: 0, WholeAnswer: seconds(2), MaxWait: seconds(2)},
		Route: "certificates", RouteSpec: serviceRoute("certificates-v1"),
		Rate: 2, PromptLengths: LengthDistribution{Median: 100, Sigma: 0.3, Max: 500}, ReturnShare: 0.9, DuplicateShare: 0.1,
	}
	w := Workload{
		Name:          "covorul-drept",
		Classes:       []Class{lookup, provenance, review, certificate},
		Organisations: organisations("appraiser"),
	}
	if auction < 0 {
		return w
	}
	return w.WithBurst(provenance.Name, Burst{Start: auction, Duration: 10 * time.Second, Factor: 5})
}

// AgendaAndinaWorkload is the workload of a printer of school diaries. It mixes
// three peak loads (summaries at night, orders at dawn, suggestions at
// weekends) with teachers' drafts.
func AgendaAndinaWorkload() Workload {
	draft := Class{
		Name: "draft",
		Spec: api.ServiceClassSpec{
			Tier: 1, Floor: 0.05, Default: true,
			FirstToken: seconds(1), BetweenTokens: seconds(0.1), WholeAnswer: seconds(20), MaxWait: seconds(5),
		},
		Route: "diaries", RouteSpec: modelRoute("diaries-v1"),
		Rate: 3, PromptLengths: LengthDistribution{Median: 150, Sigma: 0.5, Max: 2000}, AnswerLengths: LengthDistribution{Median: 120, Sigma: 0.6, Max: 800},
		Prefixes: 8, PrefixTokens: 500, MaxTokens: 1000,
		LeaveShare: 0.02, MeanLeaveAfter: 2 * time.Second, ReturnShare: 0.6,
	}
	summary := Class{
		Name:  "summary",
		Spec:  api.ServiceClassSpec{Tier: 2, Floor: 0.1, FirstToken: seconds(10), WholeAnswer: seconds(120), MaxWait: seconds(30)},
		Route: "diaries", RouteSpec: modelRoute("diaries-v1"),
		Rate: 4, PromptLengths: LengthDistribution{Median: 900, Sigma: 0.7, Max: 8000}, AnswerLengths: LengthDistribution{Median: 180, Sigma: 1, Max: 4000},
		Prefixes: 8, PrefixTokens: 500, MaxTokens: 4000, UnaryShare: 0.3,
		LeaveShare: 0.01, MeanLeaveAfter: 5 * time.Second, ReturnShare: 0.9,
	}
	suggestion := Class{
		Name:  "suggestion",
		Spec:  api.ServiceClassSpec{Tier: 3, Floor: 0.05, FirstToken: seconds(5), WholeAnswer: seconds(60), MaxWait: seconds(60)},
		Route: "diaries", RouteSpec: modelRoute("diaries-v1"),
		Rate: 3, PromptLengths: LengthDistribution{Median: 80, Sigma: 0.4, Max: 500}, AnswerLengths: LengthDistribution{Median: 90, Sigma: 0.6, Max: 600},
		Prefixes: 3, PrefixTokens: 400, MaxTokens: 600,
		LeaveShare: 0.05, MeanLeaveAfter: 3 * time.Second, ReturnShare: 0.5,
	}
	order := Class{
		Name:  "order",
		Spec:  api.ServiceClassSpec{Tier: 0, WholeAnswer: seconds(2), MaxWait: seconds(2)},
		Route: "orders", RouteSpec: serviceRoute("orders-v1"),
		Rate: 2, PromptLengths: LengthDistribution{Median: 100, Sigma: 0.3, Max: 500}, ReturnShare: 0.9, DuplicateShare: 0.1,
	}
	return Workload{
		Name:          "agenda-andina",
		Classes:       []Class{draft, summary, suggestion, order},
		Organisations: organisations("school"),
	}
}

func seconds(s float64) api.Duration { return api.Duration(s * float64(time.Second)) }

func modelRoute(model string) api.RouteSpec {
	return api.RouteSpec{Versions: []api.RouteVersion{{Model: model, Weight: 1}}, Idempotent: true}
}

func serviceRoute(service string) api.RouteSpec {
	return api.RouteSpec{
		Versions:   []api.RouteVersion{{Model: service, Weight: 1}},
		Service:    true,
		RequireKey: true,
	}
}

// organisations returns one organisation for each share in organisationShares.
// An organisation's name is the prefix followed by a number.
func organisations(prefix string) []Organisation {
	var out []Organisation
	for i, share := range organisationShares {
		name := fmt.Sprintf("%s-%02d", prefix, i+1)
		out = append(out, Organisation{Name: name, Key: "key-" + name, Share: share})
	}
	return out
}

// WithBurst returns the workload with a burst added to the named class. The
// workload is returned unchanged if it has no such class.
func (w Workload) WithBurst(class string, burst Burst) Workload {
	classes := slices.Clone(w.Classes)
	for i := range classes {
		if classes[i].Name == class {
			classes[i].Bursts = append(slices.Clone(classes[i].Bursts), burst)
		}
	}
	w.Classes = classes
	return w
}

// Objects returns the service classes, organisations and routes that the
// workload needs, as resources that operators can create.
func (w Workload) Objects() []api.Object {
	var out []api.Object
	routes := make(map[string]bool)
	for _, class := range w.Classes {
		out = append(out, object(api.KindServiceClass, class.Name, class.Spec))
		if !routes[class.Route] {
			routes[class.Route] = true
			out = append(out, object(api.KindRoute, class.Route, class.RouteSpec))
		}
	}
	for _, o := range w.Organisations {
		sum := sha256.Sum256([]byte(o.Key))
		spec := api.OrganisationSpec{KeyHashes: []string{hex.EncodeToString(sum[:])}}
		out = append(out, object(api.KindOrganisation, o.Name, spec))
	}
	return out
}

func object(kind api.Kind, name string, spec any) api.Object {
	return api.Object{Kind: kind, Name: name, Spec: mustJSON(spec)}
}
