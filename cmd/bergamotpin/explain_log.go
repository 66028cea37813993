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

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// logLine is one line of an instance's log, with what it was read from.
type logLine struct {
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Msg     string    `json:"msg"`
	// prefix is what stands before the JSON, such as an instance's name.
	prefix string
	fields map[string]json.RawMessage
}

// storyOf reads logs of any number of instances and writes what they say of a
// request, in order of time.
func storyOf(logs io.Reader, request string, out io.Writer) error {
	var lines, lives []logLine
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLineBytes)
	prefix := ""
	for scanner.Scan() {
		line, ok := parseLogLine(scanner.Text())
		if !ok {
			continue
		}
		// Lines that were written together bear the prefix of the first.
		if line.prefix == "" {
			line.prefix = prefix
		}
		prefix = line.prefix
		if line.Request == request {
			lines = append(lines, line)
		}
		if line.tellsOfLife() {
			lives = append(lives, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "log")
	}
	if len(lines) == 0 {
		return errors.Errorf("no line names request %q", request)
	}
	sortByTime(lines)
	sortByTime(lives)
	return writeStory(append(lines, lifeAfter(lines[len(lines)-1], lives)...), out)
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// tellsOfLife reports whether the line tells of its process as a whole.
func (l logLine) tellsOfLife() bool {
	return slices.Contains([]string{"start", "leaving", "left", "stop"}, l.Msg)
}

// lifeAfter is what became of the process that wrote the last line of a story,
// if the request has no end there: a process that was killed says nothing, but
// its successor starts.
func lifeAfter(last logLine, lives []logLine) []logLine {
	if last.Msg != "sent" && last.Msg != "attempt failed" {
		return nil
	}
	for _, life := range lives {
		if life.prefix == last.prefix && life.Time.After(last.Time) {
			return []logLine{life}
		}
	}
	return nil
}

func parseLogLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{prefix: lastWord(text[:start])}
	raw := []byte(text[start:])
	if json.Unmarshal(raw, &line) != nil || json.Unmarshal(raw, &line.fields) != nil {
		return logLine{}, false
	}
	return line, true
}

// lastWord is the name of the process, which stands last before its line.
func lastWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func writeStory(lines []logLine, out io.Writer) error {
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

// storyFromFile reads the logs from a file, or from standard input for "-".
func storyFromFile(path, request string) error {
	if request == "" {
		return &exitError{exitUsage, errors.New("name the request whose story is asked for")}
	}
	if path == "-" {
		return storyOf(os.Stdin, request, os.Stdout)
	}
	f, err := os.Open(path)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	defer f.Close()
	return storyOf(f, request, os.Stdout)
}
