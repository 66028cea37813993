package main

import "github.com/alecthomas/kingpin/v2"

// usageTemplate is kingpin's default template with a section for the command's
// examples at the end.
var usageTemplate = kingpin.DefaultUsageTemplate + `{{if .Context.SelectedCommand}}{{if .Context.SelectedCommand.HelpLong}}
Examples:
{{.Context.SelectedCommand.HelpLong}}
{{end}}{{end}}`

// examples maps a command to the usage examples in its help text.
var examples = map[string]string{
	"serve": `  bergamotpin serve -c examples/covor/dc1-1.toml`,
	"check": `  bergamotpin check -c examples/covor/dc1-1.toml -f examples/covor/resources.toml`,
	"demo": `  bergamotpin demo                                  stay up, print a command to paste
  bergamotpin demo --for 10s --seed 1 --json        load for 10 s, one line of JSON
  bergamotpin demo --for 10s --workload andina --pressure 1.3
  bergamotpin demo --faults --seed 3                random faults, promises checked`,
	"load": `  bergamotpin load --address 127.0.0.1:8080 --for 30s --record trace.jsonl --plot first-token.svg`,
	"apply": `  bergamotpin apply -f examples/covor/resources.toml --dry-run
  bergamotpin apply -f class.toml --if-version 43`,
	"get": `  bergamotpin get serviceclass
  bergamotpin get backendserver engine-07 -o toml`,
	"watch":   `  bergamotpin watch --from 120`,
	"drain":   `  bergamotpin drain engine-07 --timeout 5m`,
	"explain": `  bergamotpin explain --operators 10.20.1.2:8081 --operators 10.20.1.3:8081 4a7fcaa29c9c5287b5dd08de1b5a05f2`,
	"bench":   `  bergamotpin bench --workload low-burst --seed 2`,
}

// addExamples adds the examples to the help texts of their commands.
func addExamples(app *kingpin.Application) {
	app.UsageTemplate(usageTemplate)
	for name, text := range examples {
		app.GetCommand(name).HelpLong(text)
	}
}
