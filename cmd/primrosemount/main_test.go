package main

import (
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/operator"
)

// Guards against subcommands that conflict with each other or are missing in the program.
func TestSubcommands(t *testing.T) {
	cases := map[string][]string{
		"catalogue validate": {"catalogue", "validate", "../../examples/sarr-fils/catalogue.yaml"},
		"report burn":        {"report", "burn"},
		"explain":            {"explain", "--target", "vm"},
		"version":            {"version", "--json"},
		"demo":               {"demo"},
	}
	for name, line := range cases {
		var args arguments
		parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &args)
		require.NoError(t, err, name)
		require.NoError(t, parser.Parse(line), name)
	}
}

// Guards against exit code 0 without a subcommand or with an incomplete one.
func TestIncompleteSubcommand(t *testing.T) {
	for _, line := range [][]string{nil, {"catalogue"}, {"report"}} {
		var args arguments
		parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &args)
		require.NoError(t, err)
		require.NoError(t, parser.Parse(line))
		require.Equal(t, operator.ExitUsage, runOperators(parser, &args.Commands))
	}
}
