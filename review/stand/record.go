package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(caseName string) *Record {
	file, err := os.Create(filepath.Join("review", caseName, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	return &Record{file: file, start: time.Now()}
}

// Linef writes one line with the time since the start.
func (r *Record) Linef(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// Resultf writes a line to the record and to the standard output.
func (r *Record) Resultf(format string, values ...any) {
	r.Linef(format, values...)
	fmt.Printf(format+"\n", values...)
}

// WithTrouble reports whether the case runs with its disruption.
func WithTrouble() bool { return os.Getenv("TROUBLE") != "0" }
