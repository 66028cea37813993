package memoryaccount

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Kind is what memory is held for.
type Kind uint8

// Kinds. Their names are stable, since metrics contain them.
const (
	Connections Kind = iota
	Heads
	Bodies
	Responses
	kindCount
)

var kindNames = [kindCount]string{"connections", "heads", "bodies", "responses"}

// String returns the name in metrics and logs.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// Party is for whom memory is held. A zero field stands for an address or organisation that is not
// known, which has no limit of its own.
type Party struct {
	Address      netip.Addr
	Organisation string
}

// Account bounds the memory that is held. It is safe for concurrent use.
type Account struct {
	maxWait time.Duration

	mu             sync.Mutex
	capacity, used int64
	byKind         [kindCount]int64
	refused        [kindCount]int64
	byAddress      map[netip.Addr]int64
	byOrganisation map[string]int64
	lastNumber     uint64
	// waiting holds the asks that wait, those of the oldest reservations first.
	waiting []*waiter
}

// waiter is an ask that waits for memory.
type waiter struct {
	reservation *Reservation
	bytes       int64
	// patient is set if the ask is never refused.
	patient bool
	// done receives whether the ask was granted. It has room for one value.
	done chan bool
}

// New returns an account with a capacity in bytes. maxWait is how long a reservation waits for
// memory before one of those that wait is refused.
func New(capacity int64, maxWait time.Duration) *Account {
	return &Account{
		capacity: capacity, maxWait: maxWait,
		byAddress: make(map[netip.Addr]int64), byOrganisation: make(map[string]int64),
	}
}

// Usage is what an account holds. Held and Refused are indexed by Kind: the bytes that are held,
// and how many asks were refused since the start.
type Usage struct {
	Capacity, Used int64
	Held, Refused  [kindCount]int64
	Waiting        int
}

// Usage returns what the account holds.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Capacity: a.capacity, Used: a.used, Held: a.byKind, Refused: a.refused, Waiting: len(a.waiting)}
}

// Kinds returns all kinds, for metrics.
func Kinds() []Kind { return []Kind{Connections, Heads, Bodies, Responses} }

// fits reports whether a reservation may take more bytes. The lock must be held.
func (a *Account) fits(r *Reservation, bytes int64) bool {
	if r.kind == Responses {
		return responseFits(bytes, a.byKind[Responses], a.capacity-a.used, a.capacity)
	}
	byOrganisation, byAddress := a.heldBy(r.party)
	return ask{bytes: bytes, first: r.bytes == 0, free: a.capacity - a.used, byOrganisation: byOrganisation, byAddress: byAddress}.fits()
}

// heldBy returns what an organisation and an address hold. The lock must be held.
func (a *Account) heldBy(p Party) (byOrganisation, byAddress int64) {
	return a.byOrganisation[p.Organisation], a.byAddress[p.Address]
}

// add changes what a reservation holds. The lock must be held.
func (a *Account) add(r *Reservation, bytes int64) {
	r.bytes += bytes
	a.used += bytes
	a.byKind[r.kind] += bytes
	if r.party.Organisation != "" {
		addTo(a.byOrganisation, r.party.Organisation, bytes)
	}
	if r.party.Address.IsValid() {
		addTo(a.byAddress, r.party.Address, bytes)
	}
}

func addTo[K comparable](held map[K]int64, key K, bytes int64) {
	if now := held[key] + bytes; now != 0 {
		held[key] = now
		return
	}
	delete(held, key)
}

// await adds an ask to those that wait. The lock must be held.
func (a *Account) await(r *Reservation, bytes int64, patient bool) *waiter {
	w := &waiter{reservation: r, bytes: bytes, patient: patient, done: make(chan bool, 1)}
	at, _ := slices.BinarySearchFunc(a.waiting, w.reservation.number, func(other *waiter, number uint64) int {
		return int(int64(other.reservation.number - number))
	})
	a.waiting = slices.Insert(a.waiting, at, w)
	return w
}

// giveUp ends an ask that waits. It returns true if the ask was granted meanwhile.
func (a *Account) giveUp(w *waiter) (granted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.remove(w) && <-w.done
}

// favourOldest grants a patient ask if it is the oldest of them and fits into what is free, above
// the bound of responses too. Otherwise responses that are all half read would wait for each other.
func (a *Account) favourOldest(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	oldest := slices.IndexFunc(a.waiting, func(other *waiter) bool { return other.patient })
	if oldest < 0 || a.waiting[oldest] != w || w.bytes > a.capacity-a.used {
		return
	}
	a.remove(w)
	a.add(w.reservation, w.bytes)
	w.done <- true
}

// refuse is giveUp, and counts a refusal unless the ask had its result.
func (a *Account) refuse(w *waiter) (granted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.remove(w) {
		a.refused[w.reservation.kind]++
		return false
	}
	return <-w.done
}

// remove takes an ask from those that wait. It returns false if the ask has its result already. The
// lock must be held.
func (a *Account) remove(w *waiter) bool {
	at := slices.Index(a.waiting, w)
	if at < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, at, at+1)
	return true
}

// grantWaiting grants the asks that fit, the oldest first. The lock must be held.
func (a *Account) grantWaiting() {
	if len(a.waiting) == 0 {
		return
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if !a.fits(w.reservation, w.bytes) {
			return false
		}
		a.add(w.reservation, w.bytes)
		w.done <- true
		return true
	})
}

// refuseOneBeside refuses one of the asks that wait, if the given one is still among them. An ask
// whose time is over calls it; it may be another one that is refused.
func (a *Account) refuseOneBeside(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Contains(a.waiting, w) {
		a.refuseOne()
	}
}

// refuseOne refuses one of the asks that wait. The lock must be held.
func (a *Account) refuseOne() {
	var candidates []candidate
	var waiters []*waiter
	for _, w := range a.waiting {
		if w.patient {
			continue
		}
		c := candidate{number: w.reservation.number}
		c.byOrganisation, c.byAddress = a.heldBy(w.reservation.party)
		candidates, waiters = append(candidates, c), append(waiters, w)
	}
	if len(candidates) == 0 {
		return
	}
	refused := waiters[refusedFirst(candidates)]
	a.remove(refused)
	a.refused[refused.reservation.kind]++
	refused.done <- false
}
