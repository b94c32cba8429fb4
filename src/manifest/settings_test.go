package manifest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSampleSettingsParse(t *testing.T) {
	files, err := filepath.Glob("../../settings/*/*.json")
	require.NoError(t, err)
	require.Len(t, files, 12)
	names := make(map[string]bool)
	for _, file := range files {
		s, err := Load(file)
		require.NoError(t, err)
		require.Equal(t, filepath.Base(file), s.Name+".json")
		require.False(t, names[s.Name])
		names[s.Name] = true
	}
}

func TestParseFindings(t *testing.T) {
	base := `"name": "a", "domain": "d", "domains": ["d"], "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "keys": ["0123456789abcdef"]`
	tests := map[string]struct{ text, want string }{
		"not an object":      {`[]`, "f:1:1: an object is expected"},
		"null":               {`null`, "f:1:1: an object is expected"},
		"two values":         {`{} {}`, "f:1:4:"},
		"unknown domain":     {`{` + base + `, "domain2": 1}`, `key "domain2" is unknown`},
		"even voters":        {`{` + base + `, "voters": ["b", "c"]}`, "voters names 2 hosts; an odd number is expected"},
		"state without data": {`{` + base + `, "voters": ["a"], "roles": ["state"]}`, `key "data" is missing`},
		"voter without role": {`{` + base + `, "voters": ["a"]}`, `role state and voters disagree about "a"`},
		"null number":        {`{` + base + `, "voters": ["b"], "weight": null}`, "a whole number is expected"},
		"policy":             {`{` + base + `, "voters": ["b"], "policy": {"order": "age"}}`, `"age" is unknown; known are load, urgency`},
		"placing":            {`{` + base + `, "voters": ["b"], "placing": "best"}`, `placing "best" is unknown`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(tt.text))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// TestEverySettingIsDocumented checks that docs/OPERATIONS.md mentions every key that the parser accepts.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	known := regexp.MustCompile(`known are ([a-z, ]+)`)
	for text, prefix := range map[string]string{`{"?": 1}`: "`", `{"limits": {"?": 1}}`: ".", `{"policy": {"?": 1}}`: "policy."} {
		_, err := Parse("f", []byte(text))
		found := known.FindStringSubmatch(err.Error())
		require.NotNil(t, found)
		for key := range strings.SplitSeq(found[1], ", ") {
			if key != "limits" && key != "policy" {
				require.Contains(t, string(page), prefix+key+"`")
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{``, `{}`, `{"name": 1}`, `{"limits": {"body": 1e9}}`, "{\"keys\": [\"\xff\"]}", `{"domains": [[]]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		_, err := Parse("f", src)
		if err != nil {
			require.NotEmpty(t, err.Error())
		}
	})
}
