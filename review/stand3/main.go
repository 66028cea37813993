// Command stand3 holds the stand-ins of the third review, and its scripts.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(invalid)
	}
	cases := map[string]func(folder string, trouble bool) (int, error){"stress": stress, "comment": comment, "followers": followers, "takeup": takeUp, "ownfailure": ownFailure, "longlines": longLines}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(invalid)
	}
	code, err := run(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = invalid
	}
	os.Exit(code)
}
