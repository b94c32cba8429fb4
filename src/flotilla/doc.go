// Package flotilla decides which processes are there, and which entry host plans the workers of which failure domain.
package flotilla
