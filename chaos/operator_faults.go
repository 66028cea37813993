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

// acceptedVersions maps each resource to the version of its last write, if the
// operator was told that this write is accepted. A resource whose last write is
// uncertain has no entry.
type acceptedVersions map[config.ResourceKey]int64

// record stores the outcome of a write. A conflict leaves the entry as it is.
// Any other error removes the entry.
func (a acceptedVersions) record(obj api.Object, err error) {
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

// operator is a client of the API for operators at one instance.
type operator struct {
	instance *demo.Instance
	client   *client.Client
}

func newOperator(instance *demo.Instance) operator {
	return operator{instance: instance, client: client.New(instance.Current().OperatorAddress().String(), "")}
}

// write edits the spec of a resource that the operator has read and writes the
// resource back. The write gets a conflict if the resource has a newer version
// by then.
func write[S any](ctx context.Context, o operator, current api.Object, edit func(spec *S)) (api.Object, error) {
	var spec S
	if err := api.DecodeSpec(current.Spec, &spec); err != nil {
		return current, errors.Wrap(err, "decode")
	}
	edit(&spec)
	raw, err := json.Marshal(spec)
	if err != nil {
		return current, errors.Wrap(err, "encode")
	}
	updated := current
	updated.Version = current.SpecVersion
	updated.Spec = raw
	written, err := o.client.Put(ctx, updated, false)
	if err != nil {
		return updated, err
	}
	return written, nil
}

// newClassEdit returns an edit that changes a class's latency target. The new
// target differs from those of all earlier edits.
func (r *run) newClassEdit() func(*api.ServiceClassSpec) {
	r.writeCount++
	target := 20*time.Second + time.Duration(r.writeCount)*time.Millisecond
	return func(spec *api.ServiceClassSpec) { spec.WholeAnswer = api.Duration(target) }
}

// randomOperator returns an operator at a random running instance, or false if
// no instance runs.
func (s *step) randomOperator() (operator, bool) {
	alive := s.run.aliveInstances()
	if len(alive) == 0 {
		return operator{}, false
	}
	return newOperator(pick(s.run.random, alive)), true
}

func operatorFaults() []fault {
	return []fault{
		{name: "change-class", inject: func(ctx context.Context, s *step) string { return s.changeClass(ctx) }},
		{name: "two-operators", inject: func(ctx context.Context, s *step) string { return s.twoOperators(ctx) }},
		{name: "drain", isDrain: true, inject: func(ctx context.Context, s *step) string { return s.startDrain(ctx) }},
	}
}

// changeClass makes an operator write a new latency target to a random class.
// It returns a description of the write and its outcome for the report.
func (s *step) changeClass(ctx context.Context) string {
	class := pick(s.run.random, s.run.workload.Classes).Name
	o, ok := s.randomOperator()
	if !ok {
		return " without an instance"
	}
	current, err := o.client.Get(ctx, api.KindServiceClass, class)
	if err != nil {
		return " " + class + " not read"
	}
	written, err := write(ctx, o, current, s.run.newClassEdit())
	s.run.acceptedVersions.record(written, err)
	return fmt.Sprintf(" %s at %s: %s", class, o.instance.Name(), outcomeName(err))
}

// outcomeName returns the name of a write's outcome for the report.
func outcomeName(err error) string {
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

// twoOperators makes two operators write the same class at the same time. Each
// write is conditional: it gets a conflict if the class no longer has the
// version that the first operator read.
func (s *step) twoOperators(ctx context.Context) string {
	class := pick(s.run.random, s.run.workload.Classes).Name
	first, ok := s.randomOperator()
	if !ok {
		return " without an instance"
	}
	second, _ := s.randomOperator()
	current, err := first.client.Get(ctx, api.KindServiceClass, class)
	if err != nil {
		return " " + class + " not read"
	}
	type writeResult struct {
		written api.Object
		err     error
	}
	results := make(chan writeResult, 2)
	for _, o := range []operator{first, second} {
		edit := s.run.newClassEdit()
		go func() {
			written, err := write(ctx, o, current, edit)
			results <- writeResult{written, err}
		}()
	}
	a, b := <-results, <-results
	if a.err == nil {
		a, b = b, a
	}
	s.run.acceptedVersions.record(a.written, a.err)
	s.run.acceptedVersions.record(b.written, b.err)
	s.checkTwoOperators(class, a.err, b.err)
	return fmt.Sprintf(" %s at %s and %s: %s, %s", class, first.instance.Name(), second.instance.Name(), outcomeName(a.err), outcomeName(b.err))
}

// checkTwoOperators verifies that at most one of two concurrent writes was
// accepted. If the step has no other fault, one write must be accepted and the
// other must get a conflict. The caller passes the errors of the two writes. If
// only one write was accepted, secondErr must be nil.
func (s *step) checkTwoOperators(class string, firstErr, secondErr error) {
	outcomes := [2]string{outcomeName(firstErr), outcomeName(secondErr)}
	if outcomes == [2]string{"accepted", "accepted"} {
		s.addFailure(Configuration, "both of two concurrent writes were accepted for class "+class)
	}
	onlyFault := len(s.faults) == 1
	if onlyFault && outcomes != [2]string{"conflict", "accepted"} {
		s.addFailure(Configuration, fmt.Sprintf("two concurrent writes to class %s without another fault got %s and %s, want conflict and accepted", class, outcomes[0], outcomes[1]))
	}
}
