//go:build !cgo

package main

// restoreHangup does nothing: without cgo, SIGHUP is not ignored at the start.
func restoreHangup() {}
