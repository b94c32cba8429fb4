// Package drill loads a running system over its HTTP interface and checks every promise against what really started.
package drill
