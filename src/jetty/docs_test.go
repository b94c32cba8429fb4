package jetty

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryCodeIsDocumented checks that docs/API.md mentions every code, outcome and header declared in the source.
func TestEveryCodeIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	tests := map[string]struct{ file, pattern string }{
		"codes":    {"../helm/services.go", `Code\w+ +Code = "([a-z-]+)"`},
		"outcomes": {"../helm/services.go", `Outcome = "([a-z]+)"`},
		"headers":  {"answer.go", `header\w+ += "([A-Za-z-]+)"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			src, err := os.ReadFile(tt.file)
			require.NoError(t, err)
			found := regexp.MustCompile(tt.pattern).FindAllStringSubmatch(string(src), -1)
			require.NotEmpty(t, found)
			for _, m := range found {
				require.Contains(t, string(page), m[1])
			}
		})
	}
}
