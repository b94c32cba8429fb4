package tide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTimersRunInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	clock := NewFakeClock(start)
	s := NewTimerService()
	var got []string
	record := func(name string) TimerFunc { return func(time.Time) { got = append(got, name) } }
	s.At(start.Add(2*time.Second), record("late"))
	s.At(start.Add(time.Second), record("early"))
	cancelled := s.At(start.Add(time.Second), record("cancelled"))
	s.Every(start.Add(time.Second), time.Second, record("tick"))
	s.Cancel(cancelled)
	s.Cancel(cancelled)
	s.RunDue(clock.Advance(time.Second))
	require.Equal(t, []string{"early", "tick"}, got)
	s.RunDue(clock.Advance(time.Second))
	require.Equal(t, []string{"early", "tick", "late", "tick"}, got)
	next, ok := s.NextDue()
	require.True(t, ok)
	require.Equal(t, start.Add(3*time.Second), next)
}
