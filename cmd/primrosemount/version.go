package main

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

func (*versionCommand) run() int {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("primrosemount", version)
	return exitOK
}
