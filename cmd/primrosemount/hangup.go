//go:build cgo

package main

/*
#include <signal.h>
#include <string.h>

// Ignores SIGHUP from the start of the process until the node handles it. Initializing
// the Go packages takes a tenth of a second and more, during which the signal would end
// the process. A signal that is lost does no harm: the settings are read afterwards.
// The C library passes the arguments of main to constructors.
__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "sidecar") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
