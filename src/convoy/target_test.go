package convoy

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValidateTarget(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		change  func(t *Target)
		invalid bool
	}{
		"an ordinary one":              {change: func(*Target) {}},
		"no start time":                {change: func(t *Target) { t.Incarnation = 0 }},
		"a clock some hours ahead":     {change: func(t *Target) { t.Incarnation = now.Add(5 * time.Hour).UnixMilli() }},
		"a start in two days":          {change: func(t *Target) { t.Incarnation = now.Add(48 * time.Hour).UnixMilli() }, invalid: true},
		"a start in microseconds":      {change: func(t *Target) { t.Incarnation = now.UnixMicro() }, invalid: true},
		"a start at the greatest time": {change: func(t *Target) { t.Incarnation = math.MaxInt64 }, invalid: true},
		"a negative start":             {change: func(t *Target) { t.Incarnation = -1 }, invalid: true},
		"a negative sequence":          {change: func(t *Target) { t.Sequence = -1 }, invalid: true},
		"no id":                        {change: func(t *Target) { t.ID = "" }, invalid: true},
		"a line break in the id":       {change: func(t *Target) { t.ID = "w\r\nHost: a" }, invalid: true},
		"a long id":                    {change: func(t *Target) { t.ID = strings.Repeat("w", 300) }, invalid: true},
		"a pool that is not UTF-8":     {change: func(t *Target) { t.Pool = "\xff" }, invalid: true},
		"no domain":                    {change: func(t *Target) { t.Domain = "" }, invalid: true},
		"a label that is not UTF-8":    {change: func(t *Target) { t.Labels = []string{"\xff"} }, invalid: true},
		"a thousand labels":            {change: func(t *Target) { t.Labels = make([]string, 1000) }, invalid: true},
		"no address":                   {change: func(t *Target) { t.Address = netip.AddrPort{} }, invalid: true},
		"port 0":                       {change: func(t *Target) { t.Address = netip.MustParseAddrPort("10.0.0.1:0") }, invalid: true},
		"no capacity":                  {change: func(t *Target) { t.Capacity.Milli = 0 }, invalid: true},
		"the greatest capacity":        {change: func(t *Target) { t.Capacity.Milli = math.MaxInt64 }, invalid: true},
		"negative memory":              {change: func(t *Target) { t.Capacity.Memory = -1 }, invalid: true},
		"negative accelerators":        {change: func(t *Target) { t.Capacity.Accelerators = -1 }, invalid: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := Target{
				ID: "i-7f3a91c2", Pool: "p", Domain: "d", Address: netip.MustParseAddrPort("10.0.0.1:80"),
				Incarnation: now.UnixMilli(), Sequence: 1, Capacity: Resources{Milli: 1000}, Labels: []string{"é"},
			}
			tt.change(&target)
			require.Equal(t, tt.invalid, target.Validate(now) != nil)
		})
	}
}
