package chaos

import (
	"context"
	"fmt"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/demo"
	"bergamotpin.example/bergamotpin/standin/engine"
)

// drain is a server set to drain in this step.
type drain struct {
	server string
	engine *engine.Server
	writer *demo.Instance
	// accepted is when the operator was told so.
	accepted time.Time
	// atLimit counts what had reached the engine at DrainLimit.
	atLimit int64
}

// beginDrain sets an engine to drain.
func (s *step) beginDrain(ctx context.Context) string {
	number := s.run.random.IntN(engines)
	name := engineName(number)
	o, ok := s.aliveOperator()
	if !ok || s.drain != nil {
		return " not begun"
	}
	written, err := s.setDrain(ctx, o, name, true)
	if err != nil {
		return fmt.Sprintf(" %s at %s: %s", name, o.at.Name(), outcomeOf(err))
	}
	s.drain = &drain{server: written.Name, engine: s.run.demo.Engines()[number], writer: o.at, accepted: time.Now()}
	return fmt.Sprintf(" %s at %s", name, o.at.Name())
}

func (s *step) setDrain(ctx context.Context, o operator, name string, drains bool) (api.Object, error) {
	seen, err := o.client.Get(ctx, api.KindBackendServer, name)
	if err != nil {
		return seen, err
	}
	written, err := write(ctx, o, seen, func(spec *api.BackendServerSpec) { spec.Drain = drains })
	s.run.accepted.note(written, err)
	return written, err
}

// engineName is the name that package demo gives an engine.
func engineName(number int) string { return fmt.Sprintf("engine-%02d", number+1) }

// arrived counts the requests that reached the engine's batch or queue. It
// rises only by new ones.
func (d *drain) arrived() int64 {
	c := d.engine.Counters()
	return c.Started + int64(c.Waiting)
}

// watch counts at DrainLimit.
func (d *drain) watch(ctx context.Context) {
	sleep(ctx, time.Until(d.accepted.Add(DrainLimit)))
	d.atLimit = d.arrived()
}

// compare counts at the end of the load, before anything is healed.
func (d *drain) compare(s *step) {
	late := d.arrived() - d.atLimit
	if late > 0 && s.couldSpread(d.writer) {
		s.fail(Draining, fmt.Sprintf("%s got %d requests later than %v after its drain", d.server, late, DrainLimit))
	}
}

// couldSpread reports whether word of a write through the instance could reach
// every instance: over the platform, or, while that answers nothing, over the
// links that stand.
func (s *step) couldSpread(writer *demo.Instance) bool {
	if !s.platformDown {
		return true
	}
	if !writer.Alive() || s.restarted[writer] {
		return false
	}
	alive := s.run.alive()
	return len(s.links.reached(writer, alive)) == len(alive)
}

// checkDrain checks the status, and takes the drain back.
func (s *step) checkDrain(ctx context.Context) {
	if s.drain == nil {
		return
	}
	if complaint := until(ctx, func() string { return s.notDrained(ctx) }); complaint != "" {
		s.fail(Draining, complaint)
	}
	complaint := until(ctx, func() string {
		o, _ := s.aliveOperator()
		_, err := s.setDrain(ctx, o, s.drain.server, false)
		return errorText(err)
	})
	if complaint != "" {
		s.fail(Draining, "the drain can't be taken back: "+complaint)
	}
}

// notDrained tells what the status of the server lacks.
func (s *step) notDrained(ctx context.Context) string {
	o, _ := s.aliveOperator()
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
	return fmt.Sprintf("%s is not told to be empty, status %s", s.drain.server, obj.Status)
}
