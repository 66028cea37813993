package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/standin/answer"
	"bergamotpin.example/bergamotpin/standin/engine"
	"bergamotpin.example/bergamotpin/standin/service"
)

const (
	// engineSlots is the starting limit of concurrent requests of an engine.
	engineSlots = 16
	// serviceSlots is that of a plain service.
	serviceSlots = 32
	// readyPoll is the time between two questions whether an instance is ready.
	readyPoll = 20 * time.Millisecond
)

// backends are the stand-in backend servers and their resources.
type backends struct {
	engines  []*engine.Server
	services []*service.Server
	objects  []api.Object
}

// startBackends starts engines and services, spread over the data centres.
func (d *Demo) startBackends() (*backends, error) {
	b := &backends{}
	models, services := targets(d.opts.Workload)
	for n := range d.opts.Fleet.Engines {
		e := engine.New(engine.Options{Seed: d.opts.Seed + uint64(n), MaxBatch: d.opts.Slots})
		b.engines = append(b.engines, e)
		if err := d.addBackend(b, fmt.Sprintf("engine-%02d", n+1), n, e, models, false); err != nil {
			return b, err
		}
	}
	for n := range d.opts.Fleet.Services {
		s := service.New(service.Options{Name: fmt.Sprintf("service-%d", n+1), Seed: d.opts.Seed + uint64(n)})
		b.services = append(b.services, s)
		if err := d.addBackend(b, fmt.Sprintf("service-%d", n+1), n, s, services, true); err != nil {
			return b, err
		}
	}
	return b, nil
}

// addBackend serves a backend server and notes its resource.
func (d *Demo) addBackend(b *backends, name string, n int, h http.Handler, models []string, isService bool) error {
	address, err := d.serve(h)
	if err != nil {
		return err
	}
	slots := d.opts.Slots
	if isService {
		slots = serviceSlots
	}
	spec, err := json.Marshal(api.BackendServerSpec{
		Address:    address,
		DataCentre: dataCentre(n % d.opts.Fleet.DataCentres),
		Models:     models,
		Service:    isService,
		Slots:      slots,
	})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	b.objects = append(b.objects, api.Object{Kind: api.KindBackendServer, Name: name, Spec: spec})
	return nil
}

// targets lists the model versions and the services of a workload.
func targets(w loadgen.Workload) (models, services []string) {
	seen := make(map[string]bool)
	for _, class := range w.Classes {
		for _, v := range class.RouteSpec.Versions {
			if seen[v.Model] {
				continue
			}
			seen[v.Model] = true
			if class.RouteSpec.Service {
				services = append(services, v.Model)
			} else {
				models = append(models, v.Model)
			}
		}
	}
	return models, services
}

// configure writes the resources as an operator would.
func (d *Demo) configure(ctx context.Context, platformAddress string) error {
	client := objects.New(objects.Options{BaseURL: "http://" + platformAddress})
	for _, obj := range append(d.opts.Workload.Objects(), d.backends.objects...) {
		if err := api.Validate(obj); err != nil {
			return errors.Wrapf(err, "%s %s", obj.Kind, obj.Name)
		}
		if _, err := client.Create(ctx, obj); err != nil {
			return errors.Wrapf(err, "create %s %s", obj.Kind, obj.Name)
		}
	}
	return nil
}

// keyRuns returns how often the services ran a call with the key.
func (b *backends) keyRuns(key string) int {
	runs := 0
	for _, s := range b.services {
		runs += s.Runs(key)
	}
	return runs
}

// promptRuns returns how often the engines ran a prompt.
func (b *backends) promptRuns(prompt answer.Digest) int {
	runs := 0
	for _, e := range b.engines {
		runs += e.PromptRuns(prompt)
	}
	return runs
}

func (b *backends) close() {
	for _, e := range b.engines {
		e.Close()
	}
	for _, s := range b.services {
		s.Close()
	}
}

// awaitReady asks an instance until it is ready.
func awaitReady(ctx context.Context, operators string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/readyz", nil)
		if err != nil {
			return errors.Wrap(err, "readyz")
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "an instance did not become ready")
		case <-time.After(readyPoll):
		}
	}
}
