package wharf

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
)

// Every metric of this package stands on the page for those on call.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	set := metrics.NewSet()
	m := newMeasures(set)
	m.ordered("start", convoy.Accepted, time.Millisecond)
	m.noted(700)
	countNewsLost(set, "beat")
	countAnswer(set, "r", convoy.Completed, time.Second)
	var out strings.Builder
	set.WritePrometheus(&out)
	names := regexp.MustCompile(`sesamecleat_[a-z_]+`).FindAllString(out.String(), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		require.Contains(t, string(page), name)
	}
	require.Contains(t, out.String(), `outcome="completed"`)
	require.Contains(t, out.String(), `verdict="accepted"`)
}
