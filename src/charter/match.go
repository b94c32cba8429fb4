package charter

import (
	"net/url"
	"path"
	"sort"
	"strings"
)

// indexedRoute is a route with the prefix that paths are compared with.
type indexedRoute struct {
	route  Route
	prefix string
}

// servedRoute names a route and the pool that serves it; several routes may have one name.
type servedRoute struct{ name, pool string }

// routeKey is what tells routes apart: two of one key cannot be told apart by any request.
type routeKey struct{ host, prefix string }

func keyOf(r Route) routeKey {
	return routeKey{host: comparableHost(r.Host), prefix: comparablePath(r.Prefix)}
}

// comparableHost returns the form in which hosts are compared: names are the same in capital and small letters, with and without the
// dot of the root; the port is not part of them.
func comparableHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// comparablePath returns the form in which paths are compared: unescaped, and without empty and dot segments. Callers' paths arrive
// in this form.
func comparablePath(p string) string {
	if plain, err := url.PathUnescape(p); err == nil {
		p = plain
	}
	if !strings.HasPrefix(p, "/") {
		return p
	}
	clean := path.Clean(p)
	if clean != "/" && (strings.HasSuffix(p, "/") || strings.HasSuffix(p, "/.") || strings.HasSuffix(p, "/..")) {
		clean += "/"
	}
	return clean
}

// BuildIndex prepares the configuration for Match and HasRoute.
func (c *Config) BuildIndex() {
	c.byHost, c.served = make(map[string][]indexedRoute), make(map[servedRoute]bool, len(c.Routes))
	for _, r := range c.Routes {
		c.served[servedRoute{name: r.Name, pool: r.Pool}] = true
		key := keyOf(r)
		c.byHost[key.host] = append(c.byHost[key.host], indexedRoute{route: r, prefix: key.prefix})
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
}

// HasRoute reports whether a route of a name is served by a pool.
func (c *Config) HasRoute(name, pool string) bool {
	return c.served[servedRoute{name: name, pool: pool}]
}

// Match returns the route of a host, as a caller spells it, with the longest prefix of an unescaped path, and the rest of the path
// after that prefix.
func (c *Config) Match(host, path string) (Route, string, bool) {
	for _, r := range c.byHost[comparableHost(host)] {
		if rest, ok := strings.CutPrefix(path, r.prefix); ok {
			return r.route, rest, true
		}
	}
	return Route{}, "", false
}
