package deck

import "time"

// followLimit returns the limit of a request for changes after some that failed: the tables may be larger than what the link carries
// within the shorter one.
func followLimit(failures int) time.Duration {
	return followTimeout << min(failures, maxFollowDoublings)
}

// raftLimit returns the limit of a call with a message of n bytes.
func raftLimit(n int) time.Duration {
	return raftTimeout + time.Duration(float64(n)/slowLink*float64(time.Second))
}
