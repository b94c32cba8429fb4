package manifest

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The templates under deploy must parse without findings once the platform has filled in their placeholders.
func TestDeployTemplatesParse(t *testing.T) {
	values := strings.NewReplacer(
		`{{node_name}}`, "host-1", `{{zone}}`, "north", `{{#zones}}"{{@}}"{{,}}{{/zones}}`, `"north","south"`,
		`{{ip_address}}`, "10.1.0.13", `{{internal_ports.0}}`, "7720",
		`{{listen_addresses.frontend_address}}`, "10.1.0.13:8161", `{{listen_addresses.readiness_address}}`, "10.1.0.13:8167",
		`{{listen_addresses.control}}`, "10.1.0.13:8166", `{{#seed_nodes}}"{{.}}"{{,}}{{/seed_nodes}}`, `"10.1.0.16:8166"`,
		`{{bounds.max_hold_ms}}`, "1000", `{{bounds.stop_timeout_ms}}`, "50", `{{limits.cpu_share|json}}`, "0.4", `{{heartbeat_interval_ms}}`, "1500",
		"{{#bounds.resend_interval_ms}}\n  \"pause\": \"{{.}}ms\",\n{{/bounds.resend_interval_ms}}", `"pause": "1500ms",`,
		`{{bootstrap|json}}`, "true", `{{fault_tolerance.machines|json}}`, "2", `{{data_directory}}`, "/data/registry",
	)
	tests := map[string]struct {
		file string
		want func(s Settings) bool
	}{
		"an entry host": {file: "dispatch.json", want: func(s Settings) bool {
			return s.Has(Dispatch) && s.Lease == time.Second && s.CallerPause == 1500*time.Millisecond
		}},
		"a state host": {file: "registry.json", want: func(s Settings) bool { return s.Has(Registry) && s.Bootstrap && s.ToleratedFailures == 2 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			src, err := os.ReadFile("../../deploy/" + tt.file)
			require.NoError(t, err)
			text := values.Replace(string(src))
			require.NotContains(t, text, "{{", "placeholder without a value in this test")
			s, err := Parse(tt.file, []byte(text))
			require.NoError(t, err)
			require.True(t, tt.want(s))
		})
	}
}

func TestJobRoleFindings(t *testing.T) {
	base := `"name": "a", "domain": "d", "domains": ["d"], "peers": "127.0.0.1:2", "keys": ["0123456789abcdef"]`
	tests := map[string]struct{ text, want string }{
		"no seeds":               {`{` + base + `, "roles": ["dispatch"], "callers": "127.0.0.1:1", "ready": "127.0.0.1:3"}`, "seeds is empty"},
		"no readiness address":   {`{` + base + `, "roles": ["dispatch"], "callers": "127.0.0.1:1", "seeds": ["127.0.0.1:4"]}`, `key "ready" is missing`},
		"no address for callers": {`{` + base + `, "roles": ["dispatch"], "ready": "127.0.0.1:1", "seeds": ["127.0.0.1:4"]}`, `key "callers" is missing`},
		"no data folder":         {`{` + base + `, "roles": ["registry"], "control": "127.0.0.1:1", "seeds": ["127.0.0.1:4"]}`, `key "data" is missing`},
		"no control address":     {`{` + base + `, "roles": ["registry"], "data": "x", "seeds": ["127.0.0.1:4"]}`, `key "control" is missing`},
		"incompatible roles":     {`{` + base + `, "roles": ["dispatch", "entry"], "seeds": ["127.0.0.1:4"]}`, "cannot be combined with entry and state"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(tt.text))
			require.ErrorContains(t, err, tt.want)
		})
	}
}
