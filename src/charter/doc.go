// Package charter defines the operator's configuration, that is routes and pools under a version that never decreases,
// with its encoding, validation and replicated state machine.
package charter
