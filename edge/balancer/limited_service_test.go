package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// limitedRequest returns a request of the given urgency for the service "s".
func limitedRequest(organisation, route int, left time.Duration) Request {
	return Request{
		Service: catalog.Service{Name: "s"}, TimeLeft: left,
		Urgency: catalog.Urgency{OrganisationPriority: organisation, RoutePriority: route},
	}
}

// TestUrgentRequestsGetRoomOfLimitedServersFirst guards against less urgent requests that take
// the room for which more urgent ones were just told to come back.
func TestUrgentRequestsGetRoomOfLimitedServersFirst(t *testing.T) {
	b := New(Options{DataCentre: "dc0"})
	now := time.Unix(1000, 0)
	urgent, patient := limitedRequest(1, 1, 0), limitedRequest(1, 3, 0)
	if !b.AdmitLimited(patient, now) {
		t.Error("a request was not admitted although none had been refused")
	}
	b.RefuseLimited(patient, 1, now)
	if !b.AdmitLimited(patient, now) || !b.AdmitLimited(urgent, now) {
		t.Error("requests were not admitted although no more urgent one had been refused")
	}
	b.RefuseLimited(urgent, 1, now)
	b.RefuseLimited(patient, 1, now)
	if b.AdmitLimited(patient, now.Add(urgentRefusalPeriod-1)) {
		t.Error("a less urgent request was admitted just after a more urgent one had been refused")
	}
	if !b.AdmitLimited(urgent, now) || !b.AdmitLimited(limitedRequest(0, 3, 0), now) {
		t.Error("a request that is not less urgent was not admitted")
	}
	if !b.AdmitLimited(patient, now.Add(urgentRefusalPeriod)) {
		t.Error("a less urgent request was not admitted, want it admitted once the urgent one could have come back")
	}
	b.ExpireReports(now.Add(time.Minute))
	if len(b.limitedServices) > 0 {
		t.Error("a service is still remembered a minute after the last refusal")
	}
}

// TestReturnTimeFitsLimits checks that callers are told to come back later if fewer requests
// are taken, and while there is time.
func TestReturnTimeFitsLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	refuse := func(n int, perSecond float64, left time.Duration) time.Duration {
		b := New(Options{DataCentre: "dc0"})
		b.SetInstances(2)
		var last time.Duration
		for range n {
			last = b.RefuseLimited(limitedRequest(1, 1, left), perSecond, now)
		}
		return last
	}
	const spread = retryAfterJitter / 2
	cases := []struct {
		name      string
		refused   int
		perSecond float64
		left      time.Duration
		want      time.Duration
	}{
		{"few refused", 1, 100, 0, minRetryAfter},
		{"five at each of two instances, ten taken a second", 5, 10, 0, time.Second},
		{"more than can be taken soon", 100, 1, 0, maxRetryAfter},
		{"nothing is taken", 1, 0, 0, maxRetryAfter},
		{"little time left", 100, 1, time.Second, time.Duration(maxWaitFraction * (1 - spread) * float64(time.Second))},
	}
	for _, c := range cases {
		got := refuse(c.refused, c.perSecond, c.left)
		if ratio := got.Seconds() / c.want.Seconds(); ratio < 1-spread || ratio > 1+spread {
			t.Errorf("%s: got %v, want about %v", c.name, got, c.want)
		}
	}
}
