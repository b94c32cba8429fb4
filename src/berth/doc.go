// Package berth is the task scheduler of an entry host: it assigns tasks to targets and decides on queueing, admission,
// retries and the ejection of failing targets. It does no I/O.
package berth
