// Package charter holds the operator's configuration: routes and pools under one version that only rises.
package charter
