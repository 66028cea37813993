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
	// defaultEngineSlots is how many requests an engine runs at the same time
	// if Options.EngineSlots is zero.
	defaultEngineSlots = 16
	// serviceSlots is how many calls a plain service runs at the same time.
	serviceSlots = 32
	// readyPollInterval is the time between two requests to an instance's
	// readiness endpoint.
	readyPollInterval = 20 * time.Millisecond
)

// backends holds the stand-in backend servers and the resources that register
// them.
type backends struct {
	engines  []*engine.Server
	services []*service.Server
	objects  []api.Object
}

// startBackends starts the engines and plain services and distributes them over
// the data centres.
func (d *Demo) startBackends() (*backends, error) {
	b := &backends{}
	models, services := modelsAndServices(d.opts.Workload)
	for index := range d.opts.Fleet.Engines {
		engineServer := engine.New(engine.Options{Seed: d.opts.Seed + uint64(index), MaxBatch: d.opts.EngineSlots})
		b.engines = append(b.engines, engineServer)
		if err := d.addBackend(b, fmt.Sprintf("engine-%02d", index+1), index, engineServer, models, false); err != nil {
			return b, err
		}
	}
	for index := range d.opts.Fleet.Services {
		serviceServer := service.New(service.Options{Name: fmt.Sprintf("service-%d", index+1), Seed: d.opts.Seed + uint64(index)})
		b.services = append(b.services, serviceServer)
		if err := d.addBackend(b, fmt.Sprintf("service-%d", index+1), index, serviceServer, services, true); err != nil {
			return b, err
		}
	}
	return b, nil
}

// addBackend serves a stand-in backend server over HTTP. It adds the resource
// that describes the backend server to b.objects. The index selects the data
// centre.
func (d *Demo) addBackend(b *backends, name string, index int, handler http.Handler, models []string, isService bool) error {
	address, err := d.startServer(handler)
	if err != nil {
		return err
	}
	slots := d.opts.EngineSlots
	if isService {
		slots = serviceSlots
	}
	spec, err := json.Marshal(api.BackendServerSpec{
		Address:    address,
		DataCentre: dataCentreName(index % d.opts.Fleet.DataCentres),
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

// modelsAndServices returns the names of the models and of the plain services
// in the workload's routes, each name once.
func modelsAndServices(workload loadgen.Workload) (models, services []string) {
	seen := make(map[string]bool)
	for _, class := range workload.Classes {
		for _, version := range class.RouteSpec.Versions {
			if seen[version.Model] {
				continue
			}
			seen[version.Model] = true
			if class.RouteSpec.Service {
				services = append(services, version.Model)
			} else {
				models = append(models, version.Model)
			}
		}
	}
	return models, services
}

// configure creates the resources of the workload and of the backend servers on
// the platform.
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

// keyRuns returns how often the plain services ran the call with the given
// idempotency key.
func (b *backends) keyRuns(idempotencyKey string) int {
	runs := 0
	for _, s := range b.services {
		runs += s.Runs(idempotencyKey)
	}
	return runs
}

// promptRuns returns how often the engines ran the prompt.
func (b *backends) promptRuns(prompt answer.PromptDigest) int {
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

// awaitReady polls an instance's readiness endpoint. It returns nil once the
// instance is ready, or an error when ctx ends.
func awaitReady(ctx context.Context, operatorAddress string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/readyz", nil)
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
			return errors.Wrap(ctx.Err(), "wait until the instance is ready")
		case <-time.After(readyPollInterval):
		}
	}
}
