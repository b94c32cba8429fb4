// Package manifest reads and checks the settings of one process.
package manifest
