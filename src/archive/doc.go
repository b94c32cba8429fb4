// Package archive keeps a process's durable state in one data folder; what a call has returned from is synced.
package archive
