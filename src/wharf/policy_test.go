package wharf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/manifest"
)

func TestPoliciesOfSettings(t *testing.T) {
	former := convoy.Policies{Order: convoy.OrderByLoad{}, Admission: convoy.AdmitBySlots{}, Placement: convoy.PlaceNext{}}
	tests := map[string]struct {
		named manifest.Policy
		want  convoy.Policies
	}{
		"unset": {want: former},
		"the defaults by name": {
			named: manifest.Policy{Order: "load", Admission: "slots", Placement: "next", Pooling: "slots"}, want: former,
		},
		"all others": {
			named: manifest.Policy{Order: "urgency", Admission: "room", Placement: "ahead", Pooling: "room"},
			want:  convoy.Policies{Order: convoy.OrderByUrgency{}, Admission: convoy.AdmitByRoom{}, Placement: convoy.PlaceAhead{}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, policies(tt.named)) })
	}
}
