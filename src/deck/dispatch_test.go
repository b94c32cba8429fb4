package deck

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
)

func TestForwardLostOnTheWayBackIsNoRefusal(t *testing.T) {
	tests := map[string]struct {
		unsure bool
		last   helm.Outcome
		want   helm.Outcome
	}{
		"nothing was sent":                 {false, helm.NotRun, helm.NotRun},
		"lost, then nobody decides":        {true, helm.NotRun, helm.Unknown},
		"lost, then answered":              {true, helm.Done, helm.Done},
		"lost, then known to have started": {true, helm.Unknown, helm.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, afterForwards(tt.unsure, helm.Answer{Outcome: tt.last}).Outcome)
		})
	}
}

func TestRefusalAfterATryThatMayHaveRunIsNoRefusal(t *testing.T) {
	lost := helm.Answer{Outcome: helm.Failed, Code: helm.CodeTargetLost}
	tests := map[string]struct {
		finish berth.Finish
		ran    *helm.Answer
		want   helm.Outcome
	}{
		"refused at once":        {berth.Finish{Verdict: berth.Refused, Reason: berth.Overload}, nil, helm.NotRun},
		"refused after a try":    {berth.Finish{Verdict: berth.Refused, Reason: berth.Overload}, &lost, helm.Failed},
		"withdrawn at once":      {berth.Finish{Verdict: berth.Withdrawn}, nil, helm.NotRun},
		"withdrawn after a try":  {berth.Finish{Verdict: berth.Withdrawn}, &lost, helm.Failed},
		"lost":                   {berth.Finish{Verdict: berth.Lost}, &lost, helm.Failed},
		"refused by all targets": {berth.Finish{Verdict: berth.Refused, Reason: berth.TooLate}, nil, helm.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var last helm.Answer
			if tt.ran != nil {
				last = *tt.ran
			}
			require.Equal(t, tt.want, conclude(t.Context(), berth.Task{}, tt.finish, last, tt.ran).Outcome)
		})
	}
}

func TestWithdrawnTaskTellsWhy(t *testing.T) {
	withdrawn := berth.Finish{Verdict: berth.Withdrawn}
	late, end := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer end()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, helm.CodeDeadline, conclude(late, berth.Task{}, withdrawn, helm.Answer{}, nil).Code)
	require.Equal(t, helm.CodeCancelled, conclude(cancelled, berth.Task{}, withdrawn, helm.Answer{}, nil).Code)
}
