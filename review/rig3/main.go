// Command rig3 plays a case of the review: it starts the project's node as separate
// processes beside stand-ins for backends, clients and the store, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the tests by name. Each returns whether the rule was broken.
var cases = map[string]func(r *rig, trouble bool) (broken bool, err error){
	"forget": playForget,
	"freeze": playFreeze,
	"grace":  playGrace,
	"leave":  playLeave,
	"quota":  playQuota,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r, err := newRig(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the rig cannot start:", err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.rec.line("case %s, disruption %t", name, trouble)
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// verdict records and prints a result.
func (r *rig) verdict(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.rec.line("%s", text)
	fmt.Println(text)
}
