// Command standin runs a stand-in for tests as a separate process: either the platform's
// log service or a target.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
)

type arguments struct {
	Log    *logCommand    `arg:"subcommand:log" help:"run the log service"`
	Target *targetCommand `arg:"subcommand:target" help:"run a target"`
}

// logCommand runs the stand-in for the log service.
type logCommand struct {
	Listen  string  `arg:"--listen,required" help:"IP:port"`
	Appends float64 `arg:"--appends" default:"300" help:"appends a second"`
}

// targetCommand runs a target.
type targetCommand struct {
	Listen     string        `arg:"--listen,required" help:"IP:port"`
	Service    string        `arg:"--service,required" help:"service of the target"`
	Node       string        `arg:"--node,required" help:"URL of the node's listener for its target"`
	Slots      int           `arg:"--slots" default:"16" help:"requests processed at a time"`
	Work       time.Duration `arg:"--work" default:"2ms" help:"mean duration of an operation"`
	Operations []string      `arg:"--operation,separate" help:"NAME or NAME=SERVICE/OPERATION for a nested call; may be repeated"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Log != nil:
		err = args.Log.run()
	case args.Target != nil:
		err = args.Target.run()
	default:
		parser.Fail("choose log or target")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func (c *logCommand) run() error {
	service := logservice.New(logservice.Config{AppendsPerSecond: c.Appends})
	server := &http.Server{Addr: c.Listen, Handler: service.Handler(), ReadHeaderTimeout: time.Second}
	return server.ListenAndServe()
}

func (c *targetCommand) run() error {
	operations := make([]target.Operation, 0, len(c.Operations))
	for _, spec := range c.Operations {
		operations = append(operations, c.operation(spec))
	}
	running, err := target.Start(target.Config{
		Service:     c.Service,
		Slots:       c.Slots,
		Connections: c.Slots,
		NodeURL:     c.Node,
		Operations:  operations,
		Ledger:      target.NewLedger(),
		Listen:      c.Listen,
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	running.Stop()
	return nil
}

// operation parses the description of an operation, which is NAME or NAME=SERVICE/OPERATION.
func (c *targetCommand) operation(spec string) target.Operation {
	name, nested, found := strings.Cut(spec, "=")
	operation := target.Operation{Name: name, Work: c.Work, FillerBytes: 200}
	if found {
		service, operationName, _ := strings.Cut(nested, "/")
		operation.Calls = []target.Downstream{{Service: service, Operation: operationName}}
	}
	return operation
}
