package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLogLineBytes is the largest length of a log line. Longer lines are an
// error.
const maxLogLineBytes = 1 << 20

// logLine is one parsed line of an instance's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Msg     string    `json:"msg"`
	// prefix is the last word before the JSON object, usually the instance's
	// name. It is empty if no word comes before the object.
	prefix string
	// fields holds all fields of the JSON object.
	fields map[string]json.RawMessage
}

// explainFromLogs reads the merged logs of any number of instances and writes
// the lines about a request, sorted by time.
func explainFromLogs(logs io.Reader, request string, out io.Writer) error {
	var lines, lifecycle []logLine
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLineBytes)
	prefix := ""
	for scanner.Scan() {
		line, ok := parseLogLine(scanner.Text())
		if !ok {
			continue
		}
		// If an instance wrote several lines together, only the first line has a
		// prefix. A line without a prefix gets the one of the line before.
		if line.prefix == "" {
			line.prefix = prefix
		}
		prefix = line.prefix
		if line.Request == request {
			lines = append(lines, line)
		}
		if line.isLifecycle() {
			lifecycle = append(lifecycle, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "log")
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line about request %q", request)
	}
	sortByTime(lines)
	sortByTime(lifecycle)
	return writeExplanation(append(lines, nextLifecycleLine(lines[len(lines)-1], lifecycle)...), out)
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// isLifecycle reports whether the line is about the start or the end of the
// instance.
func (l logLine) isLifecycle() bool {
	return slices.Contains([]string{"start", "leaving", "left", "stop"}, l.Msg)
}

// nextLifecycleLine returns the line about the next start or end of the instance
// that wrote last, the last log line about a request. It returns nil if last
// shows how the request ended. A killed instance logs nothing, but the next
// process with the same name logs its start.
func nextLifecycleLine(last logLine, lifecycle []logLine) []logLine {
	if last.Msg != "sent" && last.Msg != "attempt failed" {
		return nil
	}
	for _, line := range lifecycle {
		if line.prefix == last.prefix && line.Time.After(last.Time) {
			return []logLine{line}
		}
	}
	return nil
}

// parseLogLine parses a line of a log. It returns false if the line has no JSON
// object.
func parseLogLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{prefix: processName(text[:start])}
	raw := []byte(text[start:])
	if json.Unmarshal(raw, &line) != nil || json.Unmarshal(raw, &line.fields) != nil {
		return logLine{}, false
	}
	return line, true
}

// processName returns the last word of text, or an empty string if text has no
// word. The caller passes the part of a log line before the JSON object.
func processName(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// writeExplanation writes each line as text, with its fields sorted by name.
func writeExplanation(lines []logLine, out io.Writer) error {
	for _, line := range lines {
		var names []string
		for name := range line.fields {
			if name != "time" && name != "msg" && name != "level" && name != "request" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s %s:", line.Time.Format("15:04:05.000"), line.prefix, line.Msg)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%s", name, line.fields[name])
		}
		if _, err := fmt.Fprintln(out, b.String()); err != nil {
			return err
		}
	}
	return nil
}

// explainFromFile reads the logs from a file, or from standard input if path is
// "-".
func explainFromFile(path, request string) error {
	if request == "" {
		return &exitError{exitUsage, errors.New("--log needs a request id")}
	}
	if path == "-" {
		return explainFromLogs(os.Stdin, request, os.Stdout)
	}
	f, err := os.Open(path)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	defer f.Close()
	return explainFromLogs(f, request, os.Stdout)
}
