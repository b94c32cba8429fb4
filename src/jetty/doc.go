// Package jetty is where callers, targets and operators land: the HTTP interface of a process.
package jetty
