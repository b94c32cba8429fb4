// Package deck holds the plug-ins of entry and state hosts: they do the network and disk I/O for the decisions of
// packages such as roster, pilot, ledger and berth.
package deck
