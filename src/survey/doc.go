// Package survey decodes JSON with comments and collects all errors with their line and column, so that they are reported
// together.
package survey
