package deck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/helm"
)

func TestSubmissionDeadlineIsSentAsTimeLeft(t *testing.T) {
	here, there := time.Unix(1000, 0), time.Unix(5000, 0)
	s := helm.Submission{
		Key: "k", Route: "r", Job: true, Team: "padma", NonIdempotent: true, Deadline: here.Add(time.Second),
		Tasks: []helm.Task{{ID: "a", ContentType: "t", Body: []byte("b")}},
	}
	b, err := encodeSubmission(s, here)
	require.NoError(t, err)
	got, err := decodeSubmission(b, there)
	require.NoError(t, err)
	s.Deadline, s.Forwarded = there.Add(time.Second), true
	require.Equal(t, s, got)
}

func FuzzDecode(f *testing.F) {
	b, _ := encodeSubmission(helm.Submission{Key: "k"}, time.Unix(0, 0))
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeSubmission(b, time.Unix(0, 0))
		_, _ = decodeAnswer(b)
		_, _, _ = decodeRun(b, time.Unix(0, 0))
		_, _ = decodeTargets(b)
		_, _ = decodeFollowReply(b)
		_, _ = decodeRaftEnvelope(b)
	})
}
