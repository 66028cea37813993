package edge

import (
	"context"
	"net"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/edge/duty"
	"bergamotpin.example/bergamotpin/lease"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

// maxCandidateStoreAge is how long after the last response of the metadata store an instance may
// still try to become the holder of the duties.
const maxCandidateStoreAge = 1300 * time.Millisecond

// duties makes the calls to the platform that one instance at a time makes. It is nil if the
// deployment asks for none.
type duties struct {
	settings platform.Duties
	api      *platform.DutyAPI
	holder   *duty.Holder
	guard    *duty.Guard
}

// newDuties returns the duties of a deployment, or nil if it asks for none.
func (i *Instance) newDuties(s platform.Settings) *duties {
	if s.Duties == nil {
		return nil
	}
	d := &duties{settings: *s.Duties}
	d.api = &platform.DutyAPI{BaseURL: "http://" + s.Duties.Address.String(), HTTP: objects.NewHTTPClient(dialDutyAPI)}
	d.guard = duty.NewGuard(duty.GuardOptions{
		Terms: func() duty.Terms { return d.holder }, Name: s.Name,
		CallsPerSecond: s.Duties.CallsPerSecond, LeaseTime: s.Duties.LeaseTime,
	})
	d.holder = duty.NewHolder(duty.HolderOptions{
		Store:   platform.LeaseStore{Store: i.newStore(s.StoreAddress)},
		Process: s.Name + "." + strconv.FormatInt(time.Now().UnixNano(), 10),
		Machine: s.CallersAddress.Addr().String(), LeaseTime: s.Duties.LeaseTime,
		Candidate: i.isDutyCandidate, Suspended: lease.SuspendedTime, Quiet: d.guard.Quiet,
	})
	return d
}

// isDutyCandidate reports whether this instance should try to become the holder of the duties: it
// is one of the few that follow the metadata store, which responds to it.
func (i *Instance) isDutyCandidate() bool {
	now := time.Now()
	return i.gossip.ShouldWatchStore(now) && i.storeAge(now) < maxCandidateStoreAge
}

// run competes for the duties and carries them out until ctx ends. It hands them over then.
func (d *duties) run(ctx context.Context) {
	if d == nil {
		return
	}
	d.holder.Run(ctx)
}

// dialDutyAPI connects to the platform's API. Closing the connection drops what was not yet sent,
// so that a call that was given up does not arrive once a partition ends.
func dialDutyAPI(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialStore(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		err = tcp.SetLinger(0)
	}
	return conn, err
}

// readings returns who holds the duties, and how often that changed.
func (d *duties) readings() []metrics.Reading {
	if d == nil {
		return nil
	}
	_, held := d.holder.Term(time.Now())
	c := d.holder.Counters()
	return []metrics.Reading{
		metrics.GaugeReading("duties_held", "", "", boolGauge(held)),
		metrics.CounterReading("duty_lease", "event", "acquired", c.Acquired.Load()),
		metrics.CounterReading("duty_lease", "event", "renewed", c.Renewed.Load()),
		metrics.CounterReading("duty_lease", "event", "unanswered", c.Unanswered.Load()),
		metrics.CounterReading("duty_lease", "event", "ended", c.Ended.Load()),
	}
}
