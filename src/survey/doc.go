// Package survey reads JSON with comments and collects every finding with its place, so that all are reported together.
package survey
