// Package helm is the kernel of a process: it owns the control goroutine, and runs the plug-ins that registered themselves.
package helm
