package reverseproxy

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestNewConfigurationHoldsForSecondAttempt guards against a further server that runs a request
// although the configuration that came since the first send allows no further run, and against a
// caller that then waits for it.
func TestNewConfigurationHoldsForSecondAttempt(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"may run once":    platformtest.WithoutResuming,
		"one server only": platformtest.WithOneServer,
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgingFixture(t, 2, pathResumable, platformtest.Behaviour{Events: 1})
			f.setBehaviour(platformtest.Behaviour{Delay: stalledStreamFor, Events: 1})
			got, _ := f.doMeanwhile(f.request(pathResumable), func(first int) {
				f.setOthers(first, platformtest.Behaviour{Hang: true})
				f.putRecord(catalog.KindConfiguration, "main", change(platformtest.Configuration(2, streamTimeoutMs, "key")))
			})
			f.expectStatus(got, 200)
			if ran := f.serversThatRan(); len(ran) != 1 {
				t.Errorf("the request ran at %v, want one server", ran)
			}
		})
	}
}

// TestSuspectGetsNoSecondAttempt guards against a prompt that ends servers and that gets a second
// one while the first is not known to have ended.
func TestSuspectGetsNoSecondAttempt(t *testing.T) {
	f := newHedgingFixture(t, 2, pathResumable, platformtest.Behaviour{Events: 1})
	f.setBehaviour(platformtest.Behaviour{Delay: stalledStreamFor, Events: 1})
	r := f.promptRequest(pathResumable, "a1:100")
	f.handler.Crashes.RecordCrash(1, partsOf(r), time.Now())
	f.expectStatus(f.do(r), 200)
	if ran := f.serversThatRan(); len(ran) != 1 {
		t.Errorf("the request ran at %v, want one server", ran)
	}
}

// TestSecondAttemptsLeaveRetries guards against second attempts that spend the retries which
// failed requests need.
func TestSecondAttemptsLeaveRetries(t *testing.T) {
	f := newHedgingFixture(t, 2, pathResumable, platformtest.Behaviour{Events: 1})
	all := f.handler.Selector.RetryBudgetsLeft(time.Now())[0].Retries
	for f.handler.Selector.RetryBudgetsLeft(time.Now())[0].Retries > all/3 {
		f.handler.Selector.AllowRetry("s")
	}
	f.setBehaviour(platformtest.Behaviour{Delay: stalledStreamFor, Events: 1})
	f.expectStatus(f.do(f.request(pathResumable)), 200)
	if ran := f.serversThatRan(); len(ran) != 1 {
		t.Errorf("the request ran at %v, want one server", ran)
	}
	f.setOthers(0, platformtest.Behaviour{Refuse: true})
	f.servers[0].SetBehaviour(platformtest.Behaviour{Events: 1})
	for range 4 {
		f.expectStatus(f.do(f.request(pathResumable)), 200)
	}
}
