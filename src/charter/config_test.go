package charter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config(version uint64, routes ...Route) *Config {
	c := &Config{Version: version, Routes: routes, Pools: []Pool{{Name: "boats"}}, Source: []byte("as sent")}
	c.BuildIndex()
	return c
}

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Pool: "boats", Timeout: time.Second}
}

func TestMatch(t *testing.T) {
	c := config(1, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"))
	tests := map[string]struct {
		host, path, want, rest string
		none                   bool
	}{
		"longest prefix":                {host: "a.example", path: "/x/y/1", want: "long", rest: "1"},
		"shorter prefix":                {host: "a.example", path: "/x/1", want: "short", rest: "1"},
		"other host":                    {host: "b.example", path: "/x/y/1", want: "other", rest: "y/1"},
		"unknown host":                  {host: "c.example", path: "/x/1", none: true},
		"unknown prefix":                {host: "b.example", path: "/z/1", none: true},
		"host in capital letters":       {host: "A.EXAMPLE", path: "/x/1", want: "short", rest: "1"},
		"host with a port":              {host: "a.example:8080", path: "/x/1", want: "short", rest: "1"},
		"host with the dot of the root": {host: "a.example.", path: "/x/1", want: "short", rest: "1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, rest, ok := c.Match(tt.host, tt.path)
			require.Equal(t, !tt.none, ok)
			require.Equal(t, tt.want, r.Name)
			require.Equal(t, tt.rest, rest)
		})
	}
}

// Guards against routes that no request matches because their host or prefix is spelled otherwise than the caller spells it.
func TestRouteMatchesHoweverItIsSpelled(t *testing.T) {
	tests := map[string]struct{ host, prefix, calledHost, path string }{
		"capital letter in the route":   {host: "Ficu95.example", prefix: "/x/", calledHost: "Ficu95.example", path: "/x/1"},
		"small letter from the caller":  {host: "Ficu95.example", prefix: "/x/", calledHost: "ficu95.example", path: "/x/1"},
		"capital letters on both sides": {host: "fiCU95.example", prefix: "/x/", calledHost: "FIcu95.EXAMPLE", path: "/x/1"},
		"dot of the root in the route":  {host: "ficu95.example.", prefix: "/x/", calledHost: "ficu95.example", path: "/x/1"},
		"port in the route":             {host: "ficu95.example:8080", prefix: "/x/", calledHost: "ficu95.example:80", path: "/x/1"},
		"an address":                    {host: "[::1]", prefix: "/x/", calledHost: "[::1]:8080", path: "/x/1"},
		"escaped prefix":                {host: "a", prefix: "/%7Ex%2fy/", calledHost: "a", path: "/~x/y/1"},
		"percent sign in the prefix":    {host: "a", prefix: "/100%/", calledHost: "a", path: "/100%/1"},
		"empty segment in the prefix":   {host: "a", prefix: "//x///y/", calledHost: "a", path: "/x/y/1"},
		"dot segments in the prefix":    {host: "a", prefix: "/z/../x/./", calledHost: "a", path: "/x/1"},
		"everything":                    {host: "a", prefix: "/", calledHost: "a", path: "/1"},
		"no slash at the end":           {host: "a", prefix: "/x", calledHost: "a", path: "/x1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sent := route("r", tt.host, tt.prefix)
			c := config(1, sent)
			require.Empty(t, c.Validate())
			r, rest, ok := c.Match(tt.calledHost, tt.path)
			require.True(t, ok)
			require.Equal(t, "1", rest)
			require.Equal(t, sent, r, "the route stays as it was sent")
		})
	}
	_, _, ok := config(1, route("r", "a", "/X/")).Match("a", "/x/1")
	require.False(t, ok, "paths differ in capital and small letters")
}

func TestValidate(t *testing.T) {
	withoutTimeout := route("a", "h", "/x/")
	withoutTimeout.Timeout = 0
	unknownPool := route("a", "h", "/x/")
	unknownPool.Pool = "nobody"
	tests := map[string]struct {
		config *Config
		want   []string
	}{
		"valid":                               {config: config(1, route("a", "h", "/x/"), route("b", "h", "/y/"))},
		"no timeout":                          {config: config(1, withoutTimeout), want: []string{"route a has no timeout"}},
		"unknown pool":                        {config: config(1, unknownPool), want: []string{"route a names the unknown pool nobody"}},
		"two routes with one host and prefix": {config: config(1, route("a", "h", "/x/"), route("b", "h", "/x/")), want: []string{"routes a and b share one host and prefix"}},
		"two routes whose hosts differ in letters":    {config: config(1, route("a", "H.example", "/x/"), route("b", "h.Example", "/x/")), want: []string{"routes a and b share one host and prefix"}},
		"two routes whose hosts differ in the dot":    {config: config(1, route("a", "h.example.", "/x/"), route("b", "h.example", "/x/")), want: []string{"routes a and b share one host and prefix"}},
		"two routes whose prefixes differ in escapes": {config: config(1, route("a", "h", "/%78/"), route("b", "h", "/x/")), want: []string{"routes a and b share one host and prefix"}},
		"two routes whose prefixes differ in letters": {config: config(1, route("a", "h", "/X/"), route("b", "h", "/x/"))},
		"no host":                 {config: config(1, route("a", "", "/x/")), want: []string{"route a has no host or no prefix"}},
		"two pools with one name": {config: &Config{Pools: []Pool{{Name: "a"}, {Name: "a"}}}, want: []string{"pool a stands twice"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.config.Validate()) })
	}
}

// Only a higher version changes the stored configuration: an older one that arrives late, or different content under
// the same version, must not.
func TestConfigVersionNeverDecreases(t *testing.T) {
	var g StateMachine
	apply := func(c *Config) bool {
		data, err := Encode(c)
		require.NoError(t, err)
		changed, err := g.Apply(data)
		require.NoError(t, err)
		return changed
	}
	require.Nil(t, g.Current())
	require.True(t, apply(config(5, route("a", "h", "/x/"))))
	require.False(t, apply(config(4, route("b", "h", "/y/"))))
	require.False(t, apply(config(5, route("c", "h", "/z/"))))
	require.Equal(t, "a", g.Current().Routes[0].Name)
	require.True(t, apply(config(9)))
	var restored StateMachine
	require.NoError(t, restored.Restore(g.Snapshot()))
	require.Equal(t, uint64(9), restored.Current().Version)
	require.Equal(t, []byte("as sent"), restored.Current().Source)
	require.NoError(t, restored.Restore(nil))
	require.Nil(t, restored.Current())
	_, err := g.Apply([]byte("broken"))
	require.Error(t, err)
}
