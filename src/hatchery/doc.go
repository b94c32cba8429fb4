// Package hatchery raises stand-ins of targets that count what really started; demonstrations, loads and tests use them.
package hatchery
