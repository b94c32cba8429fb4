// Package helm is the kernel of a process: it owns the control goroutine and runs the registered plug-ins.
package helm
