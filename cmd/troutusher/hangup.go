package main

/*
#include <signal.h>

static void (*inherited_hangup)(int);

// Runs before the Go runtime and the initialization of packages, which take some milliseconds. Until then
// SIGHUP terminates the process; afterwards it is ignored until main asks for it with signal.Notify. The
// configuration is read later, so that an ignored SIGHUP loses nothing.
static void __attribute__((constructor)) ignore_hangup(void) { inherited_hangup = signal(SIGHUP, SIG_IGN); }

static void restore_hangup(void) { signal(SIGHUP, inherited_hangup); }
*/
import "C"

// restoreHangup undoes the effect of ignoring SIGHUP at the start, for a program that replaces this one.
func restoreHangup() { C.restore_hangup() }
