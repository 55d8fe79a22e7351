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
	// maxLogLineBytes is the maximum length of a line in a log file. Longer lines are
	// skipped: another program has written them.
	maxLogLineBytes = 1 << 20
	// stateChangeMargin is the time before and after a request within which state
	// changes of the nodes involved are included in its trace.
	stateChangeMargin = time.Second
	// callSeparator separates the ID of a request from the suffix that identifies a
	// nested call of the request.
	callSeparator = "."
	// standardInput is the file name that stands for standard input.
	standardInput = "-"
)

// logLine is one line of the log of a node.
type logLine struct {
	Time    time.Time
	Part    string
	Message string
	// Request is the ID of a request or a nested call. It is empty for lines about a
	// state change of the node.
	Request string
	// Node is the VM of the node that wrote the line, or the name of the log file if
	// the log does not name the VM.
	Node string
	// OtherFields holds the fields that have no column in the table, as name=value.
	OtherFields string
	// unresponsive is the address of a node that did not respond to the node that wrote
	// the line. It is empty for other lines.
	unresponsive string
}

// nodeLog is the log of one node. node is its VM and address its address for other
// nodes.
type nodeLog struct {
	node    string
	address string
	lines   []logLine
	// skipped is the number of lines that were too long.
	skipped int
}

// logEntry holds the fields of a JSON log line that are used here.
type logEntry struct {
	Time    time.Time `json:"time"`
	Part    string    `json:"part"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	VM      string    `json:"vm"`
	Peers   string    `json:"peers"`
	Address string    `json:"address"`
}

// columnFields lists the fields that are not repeated in the column of other fields:
// the level is not shown, and the others have their own columns.
var columnFields = []string{"level", "time", "part", "message", "request"}

// readNodeLog reads the log of one node. Lines that are not JSON objects are skipped,
// because other programs may write to the same log.
func readNodeLog(name string, r io.Reader) (nodeLog, error) {
	log := nodeLog{node: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))}
	reader := bufio.NewReaderSize(r, maxLogLineBytes)
	for {
		text, tooLong, err := readLine(reader)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return log, errors.Wrapf(err, "operator: %s cannot be read; give files with one JSON object per line", name)
		}
		if tooLong {
			log.skipped++
			continue
		}
		log.add(text)
	}
	for i := range log.lines {
		log.lines[i].Node = log.node
	}
	return log, nil
}

// readLine reads one line, or skips one that does not fit into the buffer of the reader,
// which it reports. The line is valid until the next call.
func readLine(reader *bufio.Reader) (line []byte, tooLong bool, err error) {
	line, more, err := reader.ReadLine()
	for tooLong = more; more && err == nil; {
		_, more, err = reader.ReadLine()
	}
	if tooLong && errors.Is(err, io.EOF) {
		err = nil
	}
	return line, tooLong, err
}

// add adds a line of a node's log.
func (l *nodeLog) add(text []byte) {
	var entry logEntry
	if json.Unmarshal(text, &entry) != nil || entry.Message == "" {
		return
	}
	if entry.Message == telemetry.MessageNodeStarted {
		l.node, l.address = cmp.Or(entry.VM, l.node), entry.Peers
	}
	line := logLine{Time: entry.Time, Part: entry.Part, Message: entry.Message, Request: entry.Request, OtherFields: otherFields(text)}
	if entry.Part == string(telemetry.PartPeers) {
		line.unresponsive = entry.Address
	}
	l.lines = append(l.lines, line)
}

// otherFields returns the fields of a line except columnFields, in the order in which
// they were written.
func otherFields(line []byte) string {
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
		if !slices.Contains(columnFields, fmt.Sprint(name)) {
			texts = append(texts, fmt.Sprintf("%v=%s", name, bytes.Trim(value, `"`)))
		}
	}
	return strings.Join(texts, " ")
}

// requestTrace holds the log lines about one request of a client, its nested calls, and
// the state changes of the nodes involved.
type requestTrace struct {
	lines []logLine
	// requestLines is the number of lines about the request or its nested calls.
	requestLines int
	// missingNotes states which information is missing and where it may be found.
	missingNotes []string
}

// collectTrace returns the trace of the request to which the ID belongs. The ID may be
// that of the request or of one of its nested calls.
func collectTrace(logs []nodeLog, id string) requestTrace {
	root, _, _ := strings.Cut(id, callSeparator)
	var t requestTrace
	for _, log := range logs {
		for _, line := range log.lines {
			if line.Request == root || strings.HasPrefix(line.Request, root+callSeparator) {
				t.lines = append(t.lines, line)
			}
		}
	}
	t.requestLines = len(t.lines)
	sortByTime(t.lines)
	t.missingNotes = append(missingNotes(logs, t.lines, root), skippedNotes(logs)...)
	t.lines = append(t.lines, stateChanges(logs, t.lines)...)
	sortByTime(t.lines)
	return t
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// stateChanges returns the state changes of the nodes involved in a request, from
// shortly before its first line to shortly after its last one.
func stateChanges(logs []nodeLog, lines []logLine) []logLine {
	if len(lines) == 0 {
		return nil
	}
	from, to := lines[0].Time.Add(-stateChangeMargin), lines[len(lines)-1].Time.Add(stateChangeMargin)
	var changes []logLine
	for _, log := range logs {
		if !slices.ContainsFunc(lines, func(l logLine) bool { return l.Node == log.node }) {
			continue
		}
		for _, line := range log.lines {
			if line.Request == "" && line.Time.After(from) && line.Time.Before(to) {
				changes = append(changes, line)
			}
		}
	}
	return changes
}

// missingNotes returns notes on the information that a trace lacks and where it may be
// found.
func missingNotes(logs []nodeLog, lines []logLine, root string) []string {
	if len(lines) == 0 {
		return []string{"No line contains the request " + root + ". Successful requests are not logged, and under load some lines are suppressed; check primrosemount_log_lines_suppressed_total and the lines of other requests of the same route and second."}
	}
	var texts []string
	ended := slices.ContainsFunc(lines, func(l logLine) bool {
		return l.Request == root && (l.Message == telemetry.MessageRequestFailed || l.Message == telemetry.MessageRequestRejected)
	})
	if !ended {
		texts = append(texts, "No line reports that "+root+" failed: the target's response was passed on, or the line was suppressed.")
	}
	for _, line := range lines {
		text := "The node at " + line.unresponsive + " did not respond and its log was not given; add it with --logs."
		known := slices.ContainsFunc(logs, func(log nodeLog) bool { return log.address == line.unresponsive })
		if line.unresponsive != "" && !known && !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
	}
	return texts
}

// skippedNotes returns a note for each log of which lines were skipped.
func skippedNotes(logs []nodeLog) []string {
	var texts []string
	for _, log := range logs {
		if log.skipped > 0 {
			texts = append(texts, fmt.Sprintf("%d lines of the log of %s are longer than %d bytes and were skipped; a node writes none of this length.", log.skipped, log.node, maxLogLineBytes))
		}
	}
	return texts
}

// explainLogs prints the trace of a request from log files.
func (c *ExplainCommand) explainLogs(out Output) (int, error) {
	if c.Request == "" || c.Target != "" {
		return ExitUsage, errors.New("operator: --logs needs --request ID, the id of the attempt or of one of its calls")
	}
	logs := make([]nodeLog, 0, len(c.Logs))
	for _, name := range c.Logs {
		log, err := readNodeLogFile(name)
		if err != nil {
			return ExitUsage, err
		}
		logs = append(logs, log)
	}
	t := collectTrace(logs, c.Request)
	printTrace(out.Stdout, t)
	if t.requestLines == 0 {
		return ExitFailed, nil
	}
	return ExitOK, nil
}

func readNodeLogFile(name string) (nodeLog, error) {
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

// printTrace prints the lines sorted by time. The clocks of VMs differ, so lines of
// different nodes may appear out of order.
func printTrace(w io.Writer, t requestTrace) {
	table(w, "TIME\tNODE\tPART\tREQUEST\tMESSAGE\tINPUTS", func(w io.Writer) {
		for _, line := range t.lines {
			row(w, line.Time.UTC().Format("15:04:05.000000"), line.Node, line.Part, orDash(line.Request), line.Message, line.OtherFields)
		}
	})
	_, _ = fmt.Fprintf(w, "%d lines about the request and its calls.\n", t.requestLines)
	for _, text := range t.missingNotes {
		_, _ = fmt.Fprintln(w, text)
	}
}
