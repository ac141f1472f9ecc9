package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
)

// contextEvents are the events that describe the state of a node. Those logged while a request ran are shown with its own events.
var contextEvents = []string{
	"cap_cleared", "cap_set", "configuration_in_force", "history_lost", "leaves_store", "node_started", "node_stopped", "node_stopping", "peer_lost",
	"reads_store",
	"row_unreadable", "settings_reloaded", "shares_alone", "shares_joined", "store_lost", "store_regained", "tables_fresh", "tables_offered", "tables_old",
	"upstream_leaves", "upstream_pushed_back",
}

const maxLogLine = 1 << 20

// logLine is an event from a node's log.
type logLine struct {
	File   string            `json:"file"`
	Time   string            `json:"time"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	order  int
}

func explainRequestCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell a request's story from the nodes' logs: its own events, and what its nodes learned meanwhile",
		ArgsUsage: "REQUEST LOGFILE...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON object for each event"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return vaneyoke.Err(vaneyoke.CodeUsage, "explain needs a request's id and one log file or more")
			}
			return explainRequest(cmd.Root().Writer, cmd.Args().First(), cmd.Args().Tail(), cmd.Bool("json"))
		},
	}
}

func explainRequest(out io.Writer, request string, files []string, asJSON bool) error {
	var events []logLine
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return err
		}
		events = append(events, requestEvents(request, lines)...)
	}
	if len(events) == 0 {
		return vaneyoke.Err(vaneyoke.CodeNotFound, "no event of request %s in %s", request, strings.Join(files, ", "))
	}
	slices.SortStableFunc(events, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	for _, line := range events {
		if err := printLine(out, line, asJSON); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the events of a file. Lines that are not from a node are skipped.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "log file")
	}
	defer func() { _ = f.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			line.File, line.order = file, len(lines)
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "%s", file)
	}
	return lines, nil
}

// parseLine parses a logfmt line, beginning at its time field.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				line.Time = value
			case "msg":
				line.Event = value
			default:
				line.Fields[key] = value
			}
		}
	}
	return line, decoder.Err() == nil && line.Event != ""
}

// requestEvents returns a request's own events and the context events between the first and the last of them.
func requestEvents(request string, lines []logLine) []logLine {
	first, last := -1, -1
	for i, line := range lines {
		if line.Fields["request"] == request {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(lines[first:last+1]), func(line logLine) bool {
		return line.Fields["request"] != request && !slices.Contains(contextEvents, line.Event)
	})
}

func printLine(out io.Writer, line logLine, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(line)
	}
	keys := make([]string, 0, len(line.Fields))
	for key := range line.Fields {
		if key != "request" && key != "level" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%q", key, line.Fields[key])
	}
	_, err := fmt.Fprintf(out, "%s %s %s%s\n", line.Time, line.File, line.Event, b.String())
	return err
}
