// Package radio carries calls between the system's own processes over QUIC, and replaces connections that went silent.
package radio
