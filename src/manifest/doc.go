// Package manifest loads and validates the settings file of a process.
package manifest
