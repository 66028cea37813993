package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/client"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/demo"
)

// acceptances holds the version of the last write of each resource that its
// operator was told is accepted. A resource whose last write is uncertain has
// none.
type acceptances map[config.ResourceKey]int64

// note takes the answer to a write.
func (a acceptances) note(obj api.Object, err error) {
	key := config.ResourceKey{Kind: obj.Kind, Name: obj.Name}
	if err == nil {
		a[key] = obj.SpecVersion
		return
	}
	var conflict *client.ConflictError
	if !errors.As(err, &conflict) {
		delete(a, key)
	}
}

// operator is an operator at one instance.
type operator struct {
	at     *demo.Instance
	client *client.Client
}

func newOperator(n *demo.Instance) operator {
	return operator{at: n, client: client.New(n.Current().OperatorAddress().String(), "")}
}

// write edits the spec of a resource that the operator has read, and writes it
// under the version read.
func write[S any](ctx context.Context, o operator, seen api.Object, edit func(spec *S)) (api.Object, error) {
	var spec S
	if err := api.DecodeSpec(seen.Spec, &spec); err != nil {
		return seen, errors.Wrap(err, "decode")
	}
	edit(&spec)
	raw, err := json.Marshal(spec)
	if err != nil {
		return seen, errors.Wrap(err, "encode")
	}
	next := seen
	next.Version = seen.SpecVersion
	next.Spec = raw
	written, err := o.client.Put(ctx, next, false)
	if err != nil {
		return next, err
	}
	return written, nil
}

// editClass gives a class a latency target that no write had before.
func (r *run) editClass() func(*api.ServiceClassSpec) {
	r.writes++
	target := 20*time.Second + time.Duration(r.writes)*time.Millisecond
	return func(spec *api.ServiceClassSpec) { spec.WholeAnswer = api.Duration(target) }
}

// aliveOperator returns an operator at one of the running instances, or false
// if there is none.
func (s *step) aliveOperator() (operator, bool) {
	alive := s.run.alive()
	if len(alive) == 0 {
		return operator{}, false
	}
	return newOperator(pick(s.run.random, alive)), true
}

func operatorFaults() []fault {
	return []fault{
		{name: "change-class", inject: func(ctx context.Context, s *step) string { return s.changeClass(ctx) }},
		{name: "two-operators", inject: func(ctx context.Context, s *step) string { return s.twoOperators(ctx) }},
		{name: "drain", drains: true, inject: func(ctx context.Context, s *step) string { return s.beginDrain(ctx) }},
	}
}

func (s *step) changeClass(ctx context.Context) string {
	class := pick(s.run.random, s.run.workload.Classes).Name
	o, ok := s.aliveOperator()
	if !ok {
		return " without an instance"
	}
	seen, err := o.client.Get(ctx, api.KindServiceClass, class)
	if err != nil {
		return " " + class + " not read"
	}
	written, err := write(ctx, o, seen, s.run.editClass())
	s.run.accepted.note(written, err)
	return fmt.Sprintf(" %s at %s: %s", class, o.at.Name(), outcomeOf(err))
}

// outcomeOf tells an operator's outcome in a word or two.
func outcomeOf(err error) string {
	var conflict *client.ConflictError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, client.ErrUnavailable):
		return "unavailable"
	default:
		return "uncertain"
	}
}

// twoOperators lets two write the same resource at the same time, both under
// the version that the first one read.
func (s *step) twoOperators(ctx context.Context) string {
	class := pick(s.run.random, s.run.workload.Classes).Name
	first, ok := s.aliveOperator()
	if !ok {
		return " without an instance"
	}
	second, _ := s.aliveOperator()
	seen, err := first.client.Get(ctx, api.KindServiceClass, class)
	if err != nil {
		return " " + class + " not read"
	}
	type answer struct {
		written api.Object
		err     error
	}
	answers := make(chan answer, 2)
	for _, o := range []operator{first, second} {
		edit := s.run.editClass()
		go func() {
			written, err := write(ctx, o, seen, edit)
			answers <- answer{written, err}
		}()
	}
	a, b := <-answers, <-answers
	if a.err == nil {
		a, b = b, a
	}
	s.run.accepted.note(a.written, a.err)
	s.run.accepted.note(b.written, b.err)
	s.judgeOperators(class, a.err, b.err)
	return fmt.Sprintf(" %s at %s and %s: %s, %s", class, first.at.Name(), second.at.Name(), outcomeOf(a.err), outcomeOf(b.err))
}

// judgeOperators checks what two operators were told.
func (s *step) judgeOperators(class string, a, b error) {
	words := [2]string{outcomeOf(a), outcomeOf(b)}
	if words == [2]string{"accepted", "accepted"} {
		s.fail(Configuration, "two operators both won on "+class)
	}
	alone := len(s.draws) == 1
	if alone && words != [2]string{"conflict", "accepted"} {
		s.fail(Configuration, fmt.Sprintf("of two operators on %s one is told %s, the other %s", class, words[0], words[1]))
	}
}
