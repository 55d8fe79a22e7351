// Command primrosemount runs a node, the demo and the operators' tools.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/primrosemount/primrosemount/operator"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the subcommands, of which at most one is set.
type arguments struct {
	Node *nodeCommand `arg:"subcommand:node" help:"run the node beside a target"`
	// Sidecar runs the node on the users' platform.
	Sidecar *sidecarCommand `arg:"subcommand:sidecar" help:"run the node on the platform whose settings file PRIMROSEMOUNT_SETTINGS names"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run a small fleet with an overload, a drain and a crash"`
	// Experiment compares policies by replaying overload cases.
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"replay overload cases under several policies and compare them"`
	operator.Commands
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "primrosemount is an overload control layer for service call graphs."
}

// command is a subcommand that is implemented in this package. run returns the exit code.
type command interface {
	run() int
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if selected, ok := parser.Subcommand().(command); ok {
		os.Exit(selected.run())
	}
	os.Exit(runOperators(parser, &args.Commands))
}

// fail prints an error and returns the exit code.
func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "primrosemount:", err)
	return code
}
