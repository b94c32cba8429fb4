// Package berth decides which target starts which task: slots, queues, retries and ejection, as pure decisions.
package berth
