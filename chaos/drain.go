package chaos

import (
	"context"
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/demo"
	"bergamotpin.example/bergamotpin/standin/engine"
)

// drainState describes the backend server that an operator sets to drain in
// this step.
type drainState struct {
	server string
	engine *engine.Server
	// writer is the instance through which the operator wrote.
	writer *demo.Instance
	// acceptedAt is the time at which the operator was told that the write is
	// accepted.
	acceptedAt time.Time
	// receivedAtLimit is the number of requests that the engine had received
	// when DrainLimit had passed.
	receivedAtLimit int64
}

// startDrain sets a random engine to drain and returns the outcome for the
// report.
func (s *step) startDrain(ctx context.Context) string {
	number := s.run.random.IntN(engineCount)
	name := engineName(number)
	o, ok := s.randomOperator()
	if !ok || s.drain != nil {
		return " not begun"
	}
	written, err := s.setDraining(ctx, o, name, true)
	if err != nil {
		return fmt.Sprintf(" %s at %s: %s", name, o.instance.Name(), outcomeName(err))
	}
	s.drain = &drainState{server: written.Name, engine: s.run.demo.Engines()[number], writer: o.instance, acceptedAt: time.Now()}
	return fmt.Sprintf(" %s at %s", name, o.instance.Name())
}

// setDraining sets the Drain field of a backend server and records the outcome
// of the write.
func (s *step) setDraining(ctx context.Context, o operator, name string, draining bool) (api.Object, error) {
	current, err := o.client.Get(ctx, api.KindBackendServer, name)
	if err != nil {
		return current, err
	}
	written, err := write(ctx, o, current, func(spec *api.BackendServerSpec) { spec.Drain = draining })
	s.run.acceptedVersions.record(written, err)
	return written, err
}

// engineName returns the name that package demo gives an engine.
func engineName(number int) string { return fmt.Sprintf("engine-%02d", number+1) }

// requestsReceived returns how many requests have started in the engine or wait
// in its queue. Only a new request raises this number.
func (d *drainState) requestsReceived() int64 {
	c := d.engine.Counters()
	return c.Started + int64(c.Waiting)
}

// countAtLimit waits until DrainLimit has passed and sets receivedAtLimit.
func (d *drainState) countAtLimit(ctx context.Context) {
	sleep(ctx, time.Until(d.acceptedAt.Add(DrainLimit)))
	d.receivedAtLimit = d.requestsReceived()
}

// checkLateRequests verifies that the server got no request after DrainLimit.
// It must be called before heal, because couldReachAll depends on the faults.
func (d *drainState) checkLateRequests(s *step) {
	late := d.requestsReceived() - d.receivedAtLimit
	if late > 0 && s.couldReachAll(d.writer) {
		s.addFailure(Draining, fmt.Sprintf("%s received %d requests later than %v after its drain was accepted, want 0", d.server, late, DrainLimit))
	}
}

// couldReachAll reports whether a write through the given instance could reach
// every running instance. Instances read a write from the platform. While the
// platform doesn't respond, instances pass the write on to each other. If the
// writing instance has ended or restarted, it may have lost the write before
// passing it on.
func (s *step) couldReachAll(writer *demo.Instance) bool {
	if !s.platformDown {
		return true
	}
	if !writer.Alive() || s.restarted[writer] {
		return false
	}
	alive := s.run.aliveInstances()
	return len(s.links.reachable(writer, alive)) == len(alive)
}

// checkDrain verifies that the server's status reports the server as drained,
// then ends the drain.
func (s *step) checkDrain(ctx context.Context) {
	if s.drain == nil {
		return
	}
	if problem := waitUntil(ctx, func() string { return s.drainProblem(ctx) }); problem != "" {
		s.addFailure(Draining, problem)
	}
	problem := waitUntil(ctx, func() string {
		o, _ := s.randomOperator()
		_, err := s.setDraining(ctx, o, s.drain.server, false)
		return errorText(err)
	})
	if problem != "" {
		s.addFailure(Draining, "the drain can't be ended: "+problem)
	}
}

// drainProblem describes why the server doesn't count as drained, or returns an
// empty string if the server counts as drained.
func (s *step) drainProblem(ctx context.Context) string {
	o, _ := s.randomOperator()
	obj, err := o.client.Get(ctx, api.KindBackendServer, s.drain.server)
	if err != nil {
		return errorText(err)
	}
	status, err := decodeStatus(obj)
	if err != nil {
		return errorText(err)
	}
	for _, c := range status.Conditions {
		if c.Type == api.ConditionDrained && c.Status && c.SpecVersion == obj.SpecVersion {
			return ""
		}
	}
	return fmt.Sprintf("%s is not reported as drained, its status is %s", s.drain.server, obj.Status)
}
