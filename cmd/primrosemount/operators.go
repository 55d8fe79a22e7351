package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"

	"github.com/primrosemount/primrosemount/operator"
)

// runOperators runs an operators' subcommand and returns its exit code. If the subcommand
// is missing or incomplete, it prints help for the part that was given.
func runOperators(parser *arg.Parser, commands *operator.Commands) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	code, handled := commands.Run(ctx, operator.Output{Stdout: os.Stdout, Stderr: os.Stderr})
	if !handled {
		_ = parser.WriteHelpForSubcommand(os.Stderr, parser.SubcommandNames()...)
		return operator.ExitUsage
	}
	return code
}
