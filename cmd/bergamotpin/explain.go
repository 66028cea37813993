package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/client"
)

func explainCommand(app *kingpin.Application) command {
	cmd := app.Command("explain", "Show how decisions about a request were made, as JSON lines. Any instance of its data centre may have scheduled the request, so give the addresses of all of them. Needs the setting limits.explain_records.")
	addresses := cmd.Flag("operators", "Operators' address of an instance. Repeat for several.").
		Default("127.0.0.1:8081").Envar("BERGAMOTPIN_OPERATORS").Strings()
	token := cmd.Flag("token", "Operators' token.").Envar("BERGAMOTPIN_TOKEN").String()
	logs := cmd.Flag("log", "Explain the request from the instances' logs instead, read from this file, or from standard input (-).").String()
	request := cmd.Arg("request", "Request id from the response header Bergamotpin-Request. Without it all recorded decisions are shown.").String()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		if *logs != "" {
			return explainFromFile(*logs, *request)
		}
		return explainAll(ctx, *addresses, *token, *request)
	}}
}

// explainAll prints the recorded decisions of all given instances. It returns an
// error if there are none.
func explainAll(ctx context.Context, addresses []string, token, request string) error {
	enc := json.NewEncoder(os.Stdout)
	found := 0
	for _, address := range addresses {
		explanations, err := client.New(address, token).Explain(ctx, request)
		if err != nil {
			return errors.Wrap(err, address)
		}
		for _, e := range explanations {
			found++
			if err := enc.Encode(e); err != nil {
				return err
			}
		}
	}
	if found == 0 {
		return errors.New("no recorded decisions found")
	}
	return nil
}
