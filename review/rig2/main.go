package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 110 * time.Second

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the function that plays each case.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, path string) int {
	history, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitNotRun
	}
	defer history.close()
	f, err := newFleet(history)
	if err != nil {
		history.printf("the case could not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	f.endOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	history.printf("case %s, disruption %t", name, trouble)
	result, err := cases[name](f, trouble)
	switch {
	case err != nil:
		history.printf("the case could not run: %v", err)
		return exitNotRun
	case result.broken:
		history.printf("BROKEN: %s", result.text)
		return exitBroken
	}
	history.printf("held: %s", result.text)
	return exitHeld
}

// endOnSignal ends all processes if this one is told to stop or takes too long.
func (f *fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		f.history.printf("the case could not run: it was ended early")
		f.close()
		os.Exit(exitNotRun)
	}()
}

// firstEra returns the first number in the header Store-Era. The pages name none.
func firstEra() uint64 {
	if os.Getenv("FIRST_ERA") == "1" {
		return 1
	}
	return 0
}
