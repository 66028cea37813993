// Command bergamotpin routes language-model traffic with service levels.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is the program's version as `bergamotpin version` prints it.
const version = "0.1.0"

func main() {
	app := kingpin.New("bergamotpin", "Routes language-model traffic with service levels and priorities.")
	app.Version(version)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
