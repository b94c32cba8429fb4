// Package wharf contains the plug-ins of the roles dispatch and registry: heartbeats, job offers, orders to workers,
// the list of targets and the replicated configuration. They do the network and disk I/O for the decisions of the
// packages flotilla, convoy, charter and pilot.
package wharf
