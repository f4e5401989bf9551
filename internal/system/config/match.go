package config

import (
	"slices"
	"strings"
)

// hostIndex holds the routes of one host.
type hostIndex struct {
	routes        map[string]*Route
	prefixLengths []int // distinct lengths of the prefixes in bytes, longest first
}

// Match returns the route of host whose Prefix is the longest prefix of path, or nil if there is none. Case and port of host are
// ignored. It takes at most one look-up per distinct prefix length of the host.
func (c *Config) Match(host, path string) *Route {
	if c == nil {
		return nil
	}
	h := c.hosts[host]
	if h == nil {
		if h = c.hosts[hostKey(host)]; h == nil {
			return nil
		}
	}
	for _, n := range h.prefixLengths {
		if n <= len(path) && path[n-1] == '/' {
			if r := h.routes[path[:n]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// hostKey returns host in lower case, without its port and the trailing dot of the root.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if strings.HasPrefix(host, "[") || strings.IndexByte(host, ':') == i {
			host = host[:i]
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// indexHosts builds the index of Match, and checks that pairs of host and prefix are unique.
func (c *Config) indexHosts() error {
	c.hosts = make(map[string]*hostIndex)
	last, lastKey := "", "" // most routes directly follow another one of the same host
	for _, r := range c.Routes {
		if r.Host != last || last == "" {
			last, lastKey = r.Host, hostKey(r.Host)
		}
		h := c.hosts[lastKey]
		if h == nil {
			h = &hostIndex{routes: map[string]*Route{}}
			c.hosts[lastKey] = h
		}
		if other := h.routes[r.Prefix]; other != nil {
			return invalid("routes %q and %q share host %q and prefix %q: change one", other.Name, r.Name, r.Host, r.Prefix)
		}
		h.routes[r.Prefix] = r
	}
	for _, h := range c.hosts {
		seen := map[int]bool{}
		for p := range h.routes {
			if !seen[len(p)] {
				seen[len(p)] = true
				h.prefixLengths = append(h.prefixLengths, len(p))
			}
		}
		slices.SortFunc(h.prefixLengths, func(a, b int) int { return b - a })
	}
	return nil
}
