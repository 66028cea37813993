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
	cmd := app.Command("explain", "Show the recorded scheduling decisions about a request, as JSON lines. Any instance of the data centre may have scheduled the request, so give the addresses of all its instances. Instances record decisions only with the setting limits.explain_records.")
	addresses := cmd.Flag("operators", "Address (IP and port) at which an instance serves operators. Repeat for several.").
		Default("127.0.0.1:8081").Envar("BERGAMOTPIN_OPERATORS").Strings()
	token := cmd.Flag("token", "Token that authenticates the operator, if the instances require one.").Envar("BERGAMOTPIN_TOKEN").String()
	logs := cmd.Flag("log", "Show the log lines about the request instead. The instances' logs are read from this file, or from standard input if it is -.").String()
	request := cmd.Arg("request", "Request id from the response header Bergamotpin-Request. Without an id, all recorded decisions are shown.").String()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		if *logs != "" {
			return explainFromFile(*logs, *request)
		}
		return explainAll(ctx, *addresses, *token, *request)
	}}
}

// explainAll prints the decisions about a request that the instances at the
// given addresses recorded. An empty request means all requests. If no decision
// was recorded, explainAll returns an error.
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
