package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/client"
	"bergamotpin.example/bergamotpin/resourcefile"
)

// operatorFlags holds the flags for calls to an instance's operators' API.
type operatorFlags struct {
	address string
	token   string
}

func (f *operatorFlags) register(cmd *kingpin.CmdClause) {
	cmd.Flag("operators", "Address (IP and port) at which any one of the instances serves operators.").
		Default("127.0.0.1:8081").Envar("BERGAMOTPIN_OPERATORS").StringVar(&f.address)
	cmd.Flag("token", "Token that authenticates the operator, if the instances require one.").Envar("BERGAMOTPIN_TOKEN").StringVar(&f.token)
}

func (f *operatorFlags) client() *client.Client { return client.New(f.address, f.token) }

// parseKind parses a resource kind. Case is ignored, and the plural is
// accepted.
func parseKind(text string) (api.Kind, error) {
	for _, kind := range api.ConfigKinds {
		name := strings.ToLower(string(kind))
		if given := strings.ToLower(text); given == name || given == name+"s" || given == name+"es" {
			return kind, nil
		}
	}
	return "", &exitError{exitUsage, errors.Errorf("unknown kind: %s (want ServiceClass, Organisation, Route or BackendServer)", text)}
}

func applyCommand(app *kingpin.Application) command {
	cmd := app.Command("apply", "Create or update the resources in a file. Exit code 2: the file is invalid. Exit code 3: a conflict with another write.")
	var flags operatorFlags
	flags.register(cmd)
	path := cmd.Flag("file", "Resource file, TOML or JSON.").Short('f').Required().String()
	dryRun := cmd.Flag("dry-run", "Check the resources and show what would change, but write nothing.").Bool()
	version := cmd.Flag("if-version", "Update a resource only if its current version equals this number. 0: any version.").Int64()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		resources, err := resourcefile.Read(*path)
		if err != nil {
			return &exitError{exitUsage, err}
		}
		return applyResources(ctx, flags.client(), resources, *version, *dryRun)
	}}
}

func applyResources(ctx context.Context, c *client.Client, resources []api.Object, version int64, dryRun bool) error {
	suffix := ""
	if dryRun {
		suffix = " (dry run)"
	}
	for _, obj := range resources {
		obj.Version = version
		written, change, err := c.Apply(ctx, obj, dryRun)
		if err != nil {
			return applyError(obj, err)
		}
		fmt.Printf("%s %s %s at version %d%s\n", obj.Kind, obj.Name, change, written.Version, suffix)
	}
	return nil
}

// applyError returns the error of a failed write with its exit code. After a
// conflict, the error text shows the current spec as "stands" and the proposed
// spec as "wanted". Scripts of operators may read these two labels.
func applyError(obj api.Object, err error) error {
	var conflict *client.ConflictError
	if errors.As(err, &conflict) {
		return &exitError{exitRefused, errors.Errorf("%v\nstands: %s\nwanted: %s", conflict, conflict.Current.Spec, obj.Spec)}
	}
	if errors.Is(err, client.ErrInvalid) {
		return &exitError{exitUsage, errors.Wrapf(err, "%s %s", obj.Kind, obj.Name)}
	}
	return errors.Wrapf(err, "%s %s", obj.Kind, obj.Name)
}

func getCommand(app *kingpin.Application) command {
	cmd := app.Command("get", "Show resources and their status.")
	var flags operatorFlags
	flags.register(cmd)
	kind := cmd.Arg("kind", "ServiceClass, Organisation, Route or BackendServer.").Required().String()
	name := cmd.Arg("name", "Name of the resource. Without a name, all resources of the kind are shown.").String()
	output := cmd.Flag("output", "Output format: table, json or toml.").Short('o').Default("table").Enum("table", "json", "toml")
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		objects, err := fetchObjects(ctx, flags.client(), *kind, *name)
		if err != nil {
			return err
		}
		return writeObjects(os.Stdout, objects, *output)
	}}
}

// fetchObjects reads one resource, or all resources of a kind if name is empty.
func fetchObjects(ctx context.Context, c *client.Client, kindText, name string) ([]api.Object, error) {
	kind, err := parseKind(kindText)
	if err != nil {
		return nil, err
	}
	if name == "" {
		list, err := c.List(ctx, kind)
		return list.Items, err
	}
	obj, err := c.Get(ctx, kind, name)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", kind, name)
	}
	return []api.Object{obj}, nil
}

func writeObjects(w io.Writer, objects []api.Object, output string) error {
	switch output {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(objects)
	case "toml":
		raw, err := resourcefile.EncodeTOML(objects)
		if err != nil {
			return err
		}
		_, err = w.Write(raw)
		return err
	default:
		return writeTable(w, objects)
	}
}

func writeTable(w io.Writer, objects []api.Object) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tNAME\tVERSION\tACCEPTED\tIN FORCE\tSPEC")
	for _, obj := range objects {
		var status api.Status
		if len(obj.Status) > 0 {
			if err := json.Unmarshal(obj.Status, &status); err != nil {
				return errors.Wrapf(err, "status of %s %s", obj.Kind, obj.Name)
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", obj.Kind, obj.Name, obj.SpecVersion,
			conditionText(status, obj.SpecVersion, api.ConditionAccepted), rolloutText(status, obj.SpecVersion), obj.Spec)
	}
	return table.Flush()
}

// conditionText returns the table text of a condition: "yes", or "no: " and the
// condition's message. It returns "?" if the status has no such condition for
// the current spec yet.
func conditionText(s api.Status, specVersion int64, t api.ConditionType) string {
	for _, c := range s.Conditions {
		if c.Type != t || c.SpecVersion < specVersion {
			continue
		}
		if c.Status {
			return "yes"
		}
		return "no: " + c.Message
	}
	return "?"
}

// rolloutText returns how many of the known instances have the current spec in
// force, such as "3 of 7". It returns "?" if the number is not known yet.
func rolloutText(s api.Status, specVersion int64) string {
	if conditionText(s, specVersion, api.ConditionInForce) == "?" {
		return "?"
	}
	inForce, known := 0, 0
	for _, r := range s.Rollout {
		inForce += r.InForce
		known += r.Known
	}
	return fmt.Sprintf("%d of %d", inForce, known)
}

func watchCommand(app *kingpin.Application) command {
	cmd := app.Command("watch", "Print each change of a resource as one line of JSON, until interrupted.")
	var flags operatorFlags
	flags.register(cmd)
	from := cmd.Flag("from", "Print the changes after this version. 0: print only changes from now on.").Int64()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		c := flags.client()
		if *from == 0 {
			// Start at the current version. A list of any kind contains it.
			list, err := c.List(ctx, api.KindRoute)
			if err != nil {
				return err
			}
			*from = list.Version
		}
		enc := json.NewEncoder(os.Stdout)
		err := c.Watch(ctx, *from, func(e api.WatchEvent) error {
			if e.Type == api.EventBookmark {
				return nil
			}
			return enc.Encode(e)
		})
		if ctx.Err() != nil {
			return nil
		}
		return err
	}}
}

// drainPollInterval is the interval at which the status of a draining server is
// read.
const drainPollInterval = 500 * time.Millisecond

func drainCommand(app *kingpin.Application) command {
	cmd := app.Command("drain", "Stop sending new requests to a backend server and wait until it has none in flight.")
	var flags operatorFlags
	flags.register(cmd)
	name := cmd.Arg("server", "Name of the backend server.").Required().String()
	undo := cmd.Flag("undo", "End the drain, so that the server gets requests again.").Bool()
	timeout := cmd.Flag("timeout", "How long to wait until no requests are in flight.").Default("10m").Duration()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		c := flags.client()
		version, err := setDrain(ctx, c, *name, !*undo)
		if err != nil || *undo {
			return err
		}
		return awaitDrained(ctx, c, *name, version)
	}}
}

// setDrain sets the drain field of a backend server. It returns the version of
// the new spec.
func setDrain(ctx context.Context, c *client.Client, name string, drain bool) (int64, error) {
	obj, err := c.Get(ctx, api.KindBackendServer, name)
	if err != nil {
		return 0, errors.Wrapf(err, "BackendServer %s", name)
	}
	var spec api.BackendServerSpec
	if err := api.DecodeSpec(obj.Spec, &spec); err != nil {
		return 0, err
	}
	spec.Drain = drain
	if obj.Spec, err = json.Marshal(spec); err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	written, change, err := c.Apply(ctx, obj, false)
	if err != nil {
		return 0, applyError(obj, err)
	}
	fmt.Printf("BackendServer %s %s at version %d, drain = %t\n", name, change, written.SpecVersion, drain)
	return written.SpecVersion, nil
}

// awaitDrained waits until the server's status reports the spec with the given
// version as drained. Meanwhile it prints the number of requests in flight
// whenever that number changes.
func awaitDrained(ctx context.Context, c *client.Client, name string, version int64) error {
	lastInFlight := -1
	for {
		obj, err := c.Get(ctx, api.KindBackendServer, name)
		if err != nil {
			return err
		}
		var status api.Status
		if len(obj.Status) > 0 {
			if err := json.Unmarshal(obj.Status, &status); err != nil {
				return errors.Wrap(err, "status")
			}
		}
		if conditionText(status, version, api.ConditionDrained) == "yes" {
			fmt.Printf("%s is drained: no requests in flight\n", name)
			return nil
		}
		if status.InFlight != lastInFlight {
			lastInFlight = status.InFlight
			fmt.Printf("%s: %d requests in flight\n", name, lastInFlight)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s is not drained yet", name)
		case <-time.After(drainPollInterval):
		}
	}
}
