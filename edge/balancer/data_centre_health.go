package balancer

// The load this answers: a data centre is cut off from the others while callers
// still reach all of them. What is sent across the cut is lost, and each
// attempt to connect costs its caller a timeout.

import "time"

const (
	// silentFor is for how long nothing must have come from a data centre, of
	// its instances or its servers, before it is doubted. Instances tell of
	// themselves several times in it.
	silentFor = 350 * time.Millisecond
	// failedFor is for how long a send without any answer speaks against a silent
	// one. An instance there that is heard again ends the doubt at once.
	failedFor = 6 * time.Second
	// doubtCost is the cost of a server in a data centre that is doubted. It is
	// above that of reading any prompt again: what the server keeps is of no use.
	doubtCost = 5.0
)

// reach is what is known of the way to a data centre.
type reach struct {
	heard  time.Time
	failed time.Time
	// running counts this instance's requests at its servers.
	running int
	// standing is how the data centre was last said to be held.
	standing Health
}

func (t *Balancer) reachOf(dataCentre string) *reach {
	r, ok := t.reaches[dataCentre]
	if !ok {
		r = &reach{}
		t.reaches[dataCentre] = r
	}
	return r
}

// RecordContact records that something came from a data centre.
func (t *Balancer) RecordContact(dataCentre string, now time.Time) { t.reachOf(dataCentre).heard = now }

// doubted reports whether a data centre seems to be out of reach: it is silent
// though answers are due, or after a send there that got none.
func (t *Balancer) doubted(dataCentre string, now time.Time) bool {
	if dataCentre == t.opts.DataCentre {
		return false
	}
	r := t.reachOf(dataCentre)
	if r.heard.IsZero() || now.Sub(r.heard) < silentFor {
		return false
	}
	return r.running > 0 || r.failed.After(r.heard) && now.Sub(r.failed) < failedFor
}

// onTrial reports whether a doubted data centre is being tried: a send there got
// no answer, and another one is under way.
func (t *Balancer) onTrial(dataCentre string, now time.Time) bool {
	r := t.reachOf(dataCentre)
	return t.doubted(dataCentre, now) && r.running > 0 && r.failed.After(r.heard)
}
