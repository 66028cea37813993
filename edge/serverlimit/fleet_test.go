package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// step is the time between two looks at the fleet in virtual time, and roundSteps the
	// number of steps between two rounds of reports.
	step       = 10 * time.Millisecond
	roundSteps = 10
	// responseSteps is the time to a response.
	responseSteps = 5
	// noticeTime is how long the fleet may take to learn of a limit, and window the span in
	// which the requests are counted.
	noticeTime = 3 * time.Second
	window     = 4 * time.Second
	// passedOnTime is how long after an instance passed on a limit its requests count.
	passedOnTime = 500 * time.Millisecond
	theServer    = 7
)

// simulatedInstance is one instance of a simulated fleet.
type simulatedInstance struct {
	name  string
	table *Table
	up    bool
	// side is the side of a partition that the instance is on. left is set if it announced
	// that it leaves.
	side int
	left bool
	// lag is how long the instance takes to find out that another one is gone or new.
	lag time.Duration
	// live and complete are its view.
	live     []string
	complete bool
	// learnAt is when its view will be right again.
	learnAt time.Time
	// toldAt is when it first got a response that named the limit.
	toldAt time.Time
}

// wasTold reports whether the instance is bound by the limit. It is from some time after it
// first passed on a response that names the limit.
func (i *simulatedInstance) wasTold(now time.Time) bool {
	return !i.toldAt.IsZero() && now.Sub(i.toldAt) >= passedOnTime
}

// simulatedFleet is a fleet in virtual time before one server that names a limit. Each
// instance sends whenever it may.
type simulatedFleet struct {
	random    *rand.Rand
	now       time.Time
	steps     int
	instances []*simulatedInstance
	limit     Limit
	arrivals  []time.Time
	// responses are the responses on their way, the first ones first.
	responses []simulatedResponse
}

type simulatedResponse struct {
	to           *simulatedInstance
	stated       Limit
	sent, arrive time.Time
}

func newSimulatedFleet(seed uint64, size int) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	for range size {
		f.add()
	}
	for _, i := range f.instances {
		i.learnAt = f.now
	}
	f.run(10 * time.Second)
	return f
}

// add starts a new instance.
func (f *simulatedFleet) add() *simulatedInstance {
	i := &simulatedInstance{name: fmt.Sprint("instance-", len(f.instances)), up: true, complete: true}
	// The longest lag is the time after which a silent instance counts as gone, and a round.
	i.lag = time.Duration(f.random.Int64N(int64(1700 * time.Millisecond)))
	i.live = []string{i.name}
	i.table = New(Options{Name: i.name, Seed: f.random.Uint64(), View: func() View { return View{Live: i.live, Complete: i.complete} }})
	f.instances = append(f.instances, i)
	f.changed()
	return i
}

// changed has all instances learn of a change, each after its lag.
func (f *simulatedFleet) changed() {
	for _, i := range f.instances {
		i.learnAt = f.now.Add(i.lag)
	}
}

// look gives the instance its right view.
func (f *simulatedFleet) look(i *simulatedInstance) {
	i.learnAt = time.Time{}
	i.live, i.complete = nil, true
	for _, other := range f.instances {
		switch {
		case other.left:
		case other.up && other.side == i.side:
			i.live = append(i.live, other.name)
		default:
			i.complete = false
		}
	}
	slices.Sort(i.live)
}

func (f *simulatedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.steps++
		for len(f.responses) > 0 && !f.responses[0].arrive.After(f.now) {
			r := f.responses[0]
			f.responses = f.responses[1:]
			r.to.table.Record(theServer, r.stated, r.sent, f.now)
			if r.stated.Named && r.to.toldAt.IsZero() {
				r.to.toldAt = f.now
			}
		}
		for n, i := range f.instances {
			if !i.up {
				continue
			}
			if !i.learnAt.IsZero() && !f.now.Before(i.learnAt) {
				f.look(i)
			}
			if (f.steps+n)%roundSteps == 0 {
				f.tell(i)
			}
			f.sendIfAllowed(i)
		}
	}
}

// tell sends the reports of an instance to those of the others that it reaches, each with
// one chance in two, as if the rotation over them took two rounds.
func (f *simulatedFleet) tell(i *simulatedInstance) {
	reports := i.table.Reports(f.now)
	i.table.Changes(f.now)
	if len(reports) == 0 {
		return
	}
	for _, other := range f.instances {
		if other != i && other.up && other.side == i.side && f.random.IntN(2) == 0 {
			other.table.Receive(reports, f.now)
		}
	}
}

func (f *simulatedFleet) sendIfAllowed(i *simulatedInstance) {
	room, _ := i.table.Room(theServer, f.now)
	if room == Spent || room == Unlimited && f.random.IntN(10) != 0 {
		// Without a limit an instance sends ten requests a second.
		return
	}
	i.table.Take(theServer, f.now)
	if room != Unlimited || !f.limit.Named || i.wasTold(f.now) {
		// A new instance that has not heard of the limit is not bound by it.
		f.arrivals = append(f.arrivals, f.now)
	}
	f.responses = append(f.responses, simulatedResponse{i, f.limit, f.now.Add(-time.Nanosecond), f.now.Add(responseSteps * step)})
}

// most returns the largest number of arrivals in a window that began at a time or later.
func (f *simulatedFleet) most(from time.Time) int {
	most, first := 0, 0
	for last, end := range f.arrivals {
		for end.Sub(f.arrivals[first]) > window || f.arrivals[first].Before(from) {
			first++
			if first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

// since returns the number of arrivals since a time.
func (f *simulatedFleet) since(from time.Time) int {
	n := 0
	for _, a := range f.arrivals {
		if !a.Before(from) {
			n++
		}
	}
	return n
}

func allowed(perSecond float64) float64 { return 1.5*window.Seconds()*perSecond + 5 }

// forEachFleet runs a test for some sizes of fleets and limits.
func forEachFleet(t *testing.T, run func(t *testing.T, f *simulatedFleet, perSecond float64)) {
	sizes := []int{1, 7, 24, 400}
	if testing.Short() {
		// With the race detector the largest fleet takes a minute.
		sizes = sizes[:3]
	}
	for _, size := range sizes {
		for _, perSecond := range []float64{0, 0.05, 0.5, 1, 1.8, 5, 12, 100} {
			t.Run(fmt.Sprint(size, " instances, ", perSecond, " a second"), func(t *testing.T) {
				t.Parallel()
				run(t, newSimulatedFleet(uint64(size)+uint64(perSecond*100), size), perSecond)
			})
		}
	}
}

func (f *simulatedFleet) expectAtMost(t *testing.T, perSecond float64, from time.Time) {
	t.Helper()
	if got := f.most(from); float64(got) > allowed(perSecond) {
		t.Errorf("the server got %d requests in 4 s, want at most %v", got, allowed(perSecond))
	}
}

// TestFleetKeepsAndUsesLimit guards against shares that sum up to more than the limit, as
// equal shares do in large fleets, and against a limit that is not used.
func TestFleetKeepsAndUsesLimit(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *simulatedFleet, perSecond float64) {
		f.limit = NewLimit(perSecond)
		named := f.now
		f.run(noticeTime)
		settled := f.now
		f.run(20 * time.Second)
		f.expectAtMost(t, perSecond, named.Add(noticeTime))
		if got := float64(f.since(settled)); got < 0.8*20*perSecond-1 {
			t.Errorf("the server got %v requests in 20 s, want four fifths of %v", got, 20*perSecond)
		}
		f.limit = Limit{}
		ended := f.now
		f.run(2*longestPause + 2*time.Second)
		last := f.now
		f.run(5 * time.Second)
		if got, want := f.since(last), 25*len(f.instances); got < want {
			t.Errorf("%v after the end of the limit the server got %d requests in 5 s, want at least %d", last.Sub(ended), got, want)
		}
	})
}

// TestFleetKeepsLimitWhileInstancesComeAndGo guards against two holders of the same share:
// one that does not know yet that it no longer is one, and the new one.
func TestFleetKeepsLimitWhileInstancesComeAndGo(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *simulatedFleet, perSecond float64) {
		f.limit = NewLimit(perSecond)
		named := f.now
		f.run(noticeTime)
		for n := range len(f.instances) {
			if n == 12 {
				break
			}
			switch i := f.instances[n]; n % 4 {
			case 0:
				i.left = true
				f.changed()
				f.run(500 * time.Millisecond)
				i.up = false
			case 1:
				i.up = false
				f.changed()
			default:
				f.add()
			}
			f.run(time.Duration(f.random.Int64N(int64(4 * time.Second))))
		}
		f.run(5 * time.Second)
		f.expectAtMost(t, perSecond, named.Add(noticeTime))
	})
}

// TestFleetKeepsLimitOnBothSidesOfPartition guards against a limit that both sides use whole.
func TestFleetKeepsLimitOnBothSidesOfPartition(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *simulatedFleet, perSecond float64) {
		f.limit = NewLimit(perSecond)
		named := f.now
		f.run(noticeTime)
		for n, i := range f.instances {
			i.side = n % 2
		}
		f.changed()
		f.run(12 * time.Second)
		for _, i := range f.instances {
			i.side = 0
		}
		f.changed()
		f.run(6 * time.Second)
		f.expectAtMost(t, perSecond, named.Add(noticeTime))
	})
}

// TestLoweredLimitIsKept guards against shares of an old limit.
func TestLoweredLimitIsKept(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *simulatedFleet, perSecond float64) {
		f.limit = NewLimit(2*perSecond + 1)
		f.run(10 * time.Second)
		f.limit = NewLimit(perSecond)
		lowered := f.now
		f.run(15 * time.Second)
		f.expectAtMost(t, perSecond, lowered.Add(noticeTime))
	})
}
