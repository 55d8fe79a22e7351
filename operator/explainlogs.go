package operator

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// maxLogLine bounds one line of a log in bytes; longer ones are skipped.
	maxLogLine = 1 << 20
	// storyMargin is the time before and after a request in which changes of what
	// the nodes of its story believe are shown.
	storyMargin = time.Second
	// callSeparator divides the id of a request from the part of its calls.
	callSeparator = "."
	// standardInput names standard input among files.
	standardInput = "-"
)

// logLine is one line that a node wrote about a decision.
type logLine struct {
	Time    time.Time
	Part    string
	Message string
	// Request is empty for lines about what the node believes.
	Request string
	// Node is the VM of the node that wrote the line.
	Node string
	// Inputs are the other fields as they were written.
	Inputs string
	// lost is the address of a node that gave no answer.
	lost string
}

// nodeLog is the log of one node.
type nodeLog struct {
	node    string
	address string
	lines   []logLine
}

// logEntry holds the fields that are used of a line.
type logEntry struct {
	Time    time.Time `json:"time"`
	Part    string    `json:"part"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	VM      string    `json:"vm"`
	Peers   string    `json:"peers"`
	Address string    `json:"address"`
}

// shownApart are the fields that have their own column.
var shownApart = []string{"level", "time", "part", "message", "request"}

// readNodeLog reads the log of one node. Lines that are no JSON objects are
// skipped: other programs may write to the same place.
func readNodeLog(name string, r io.Reader) (nodeLog, error) {
	log := nodeLog{node: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var entry logEntry
		if json.Unmarshal(lines.Bytes(), &entry) != nil || entry.Message == "" {
			continue
		}
		if entry.Message == telemetry.MessageNodeStarted {
			log.node, log.address = cmp.Or(entry.VM, log.node), entry.Peers
		}
		line := logLine{Time: entry.Time, Part: entry.Part, Message: entry.Message, Request: entry.Request, Inputs: inputs(lines.Bytes())}
		if entry.Part == string(telemetry.PartPeers) {
			line.lost = entry.Address
		}
		log.lines = append(log.lines, line)
	}
	for i := range log.lines {
		log.lines[i].Node = log.node
	}
	return log, errors.Wrapf(lines.Err(), "operator: %s cannot be read; give files with one JSON object a line", name)
}

// inputs returns the fields of a line without those that are shown apart, in the
// order in which they were written.
func inputs(line []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(line))
	if _, err := decoder.Token(); err != nil {
		return ""
	}
	var texts []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return strings.Join(texts, " ")
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return strings.Join(texts, " ")
		}
		if !slices.Contains(shownApart, fmt.Sprint(name)) {
			texts = append(texts, fmt.Sprintf("%v=%s", name, bytes.Trim(value, `"`)))
		}
	}
	return strings.Join(texts, " ")
}

// story is what the logs hold about one request of a client and its calls.
type story struct {
	lines []logLine
	// requests is the number of lines about the request itself or its calls.
	requests int
	missing  []string
}

// tell gathers the story of the request to which the id belongs.
func tell(logs []nodeLog, id string) story {
	root, _, _ := strings.Cut(id, callSeparator)
	var s story
	for _, log := range logs {
		for _, line := range log.lines {
			if line.Request == root || strings.HasPrefix(line.Request, root+callSeparator) {
				s.lines = append(s.lines, line)
			}
		}
	}
	s.requests = len(s.lines)
	byTime(s.lines)
	s.missing = missing(logs, s.lines, root)
	s.lines = append(s.lines, surroundings(logs, s.lines)...)
	byTime(s.lines)
	return s
}

func byTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// surroundings returns what the nodes of a story came to believe while it lasted.
func surroundings(logs []nodeLog, lines []logLine) []logLine {
	if len(lines) == 0 {
		return nil
	}
	from, to := lines[0].Time.Add(-storyMargin), lines[len(lines)-1].Time.Add(storyMargin)
	var around []logLine
	for _, log := range logs {
		if !slices.ContainsFunc(lines, func(l logLine) bool { return l.Node == log.node }) {
			continue
		}
		for _, line := range log.lines {
			if line.Request == "" && line.Time.After(from) && line.Time.Before(to) {
				around = append(around, line)
			}
		}
	}
	return around
}

// missing tells what a story lacks and where it may be.
func missing(logs []nodeLog, lines []logLine, root string) []string {
	if len(lines) == 0 {
		return []string{"No line names " + root + ". Requests that were answered well leave none, and under load lines are left out; look at primrosemount_log_lines_suppressed_total and at requests of the same route and second."}
	}
	var texts []string
	ended := slices.ContainsFunc(lines, func(l logLine) bool {
		return l.Request == root && (l.Message == telemetry.MessageRequestFailed || l.Message == telemetry.MessageRequestRejected)
	})
	if !ended {
		texts = append(texts, "No line tells that "+root+" failed: the target's own answer was passed on, or the line was left out.")
	}
	for _, line := range lines {
		text := "The node at " + line.lost + " gave no answer and its log was not given; add it."
		known := slices.ContainsFunc(logs, func(log nodeLog) bool { return log.address == line.lost })
		if line.lost != "" && !known && !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
	}
	return texts
}

// explainLogs prints the story of a request from log files.
func (c *ExplainCommand) explainLogs(out Output) (int, error) {
	if c.Request == "" || c.Target != "" {
		return ExitUsage, errors.New("operator: --logs needs --request ID, the id of the attempt or of one of its calls")
	}
	logs := make([]nodeLog, 0, len(c.Logs))
	for _, name := range c.Logs {
		log, err := openNodeLog(name)
		if err != nil {
			return ExitUsage, err
		}
		logs = append(logs, log)
	}
	s := tell(logs, c.Request)
	printStory(out.Stdout, s)
	if s.requests == 0 {
		return ExitFailed, nil
	}
	return ExitOK, nil
}

func openNodeLog(name string) (nodeLog, error) {
	if name == standardInput {
		return readNodeLog(name, os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nodeLog{}, errors.Wrap(err, "operator: the log cannot be opened; check its name")
	}
	defer file.Close()
	return readNodeLog(name, file)
}

// printStory prints the lines by time. The clocks of VMs differ, so lines of
// different nodes may be out of order.
func printStory(w io.Writer, s story) {
	table(w, "TIME\tNODE\tPART\tREQUEST\tMESSAGE\tINPUTS", func(w io.Writer) {
		for _, line := range s.lines {
			row(w, line.Time.UTC().Format("15:04:05.000000"), line.Node, line.Part, orDash(line.Request), line.Message, line.Inputs)
		}
	})
	_, _ = fmt.Fprintf(w, "%d lines about the request and its calls.\n", s.requests)
	for _, text := range s.missing {
		_, _ = fmt.Fprintln(w, text)
	}
}
