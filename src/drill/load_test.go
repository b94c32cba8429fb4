package drill

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSendAgain(t *testing.T) {
	stopping := Reply{Reached: true, Answered: true, Outcome: "notrun", Code: "stopping"}
	aborted := Reply{Reached: true, Answered: true, Outcome: "unknown", Code: "stopping"}
	tests := map[string]struct {
		keyed bool
		reply Reply
		want  bool
	}{
		"not reached":                {false, Reply{}, true},
		"no answer, without a key":   {false, Reply{Reached: true}, false},
		"no answer, with a key":      {true, Reply{Reached: true}, true},
		"refused by a stopping host": {false, stopping, true},
		"aborted, without a key":     {false, aborted, false},
		"aborted, with a key":        {true, aborted, true},
		"done":                       {true, Reply{Reached: true, Answered: true, Outcome: "done"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, sendAgain(tt.keyed, tt.reply)) })
	}
}
