// Package jetty is the HTTP interface of a process for callers, targets and operators.
package jetty
