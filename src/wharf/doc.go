// Package wharf holds the plug-ins of the roles dispatch and registry: it carries out over network and disk what the
// packages flotilla, convoy, charter and pilot decide.
package wharf
