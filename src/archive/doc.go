// Package archive stores a process's durable state in a data folder, with checksums. A write is synced to disk before its
// call returns.
package archive
