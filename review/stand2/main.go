// Command stand2 runs the cases of the second review that are scripts.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// rawSpec is an object's spec as it is sent.
func rawSpec(text string) json.RawMessage { return json.RawMessage(text) }

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*record, bool) (bool, error){
		"leak":  leakCase,
		"rerun": rerunCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*record, bool) (bool, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	result := make(chan int, 1)
	go func() { result <- outcome(rec, play) }()
	select {
	case code := <-result:
		return code
	case <-stopped:
		endAll()
		return exitNotRun
	}
}

func outcome(rec *record, play func(*record, bool) (bool, error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("BROKEN (trouble %v)", trouble)
		return exitBroken
	}
	rec.say("held (trouble %v)", trouble)
	return exitHeld
}
