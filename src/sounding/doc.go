// Package sounding measures how state, messages and processor time grow with size, on one machine, for capacity planning.
package sounding
