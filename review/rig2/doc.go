// Command rig2 plays the script cases of the second review. It starts nodes as separate
// processes with the command of the deploy file, and is itself their clients, their
// targets and their store, which behave as the pages of the platform say.
//
// The first argument names the case. The environment variable TROUBLE is 0 to play it
// without its disruption. The exit status is 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main
