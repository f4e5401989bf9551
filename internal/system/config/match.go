package config

import (
	"slices"
	"strings"
)

// hostIndex holds the routes of one host.
type hostIndex struct {
	prefixes map[string]*Route
	lengths  []int // of the prefixes, each once, longest first
}

// Match returns the route of host with the longest prefix that begins path, or nil. Case and port of host do not count.
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
	for _, n := range h.lengths {
		if n <= len(path) && path[n-1] == '/' {
			if r := h.prefixes[path[:n]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// hostKey returns host in lower case without its port and the dot of the root.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if strings.HasPrefix(host, "[") || strings.IndexByte(host, ':') == i {
			host = host[:i]
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// index makes the table that Match reads.
func (c *Config) index() error {
	c.hosts = make(map[string]*hostIndex)
	last, lastKey := "", "" // most routes follow one of the same host
	for _, r := range c.Routes {
		if r.Host != last || last == "" {
			last, lastKey = r.Host, hostKey(r.Host)
		}
		h := c.hosts[lastKey]
		if h == nil {
			h = &hostIndex{prefixes: map[string]*Route{}}
			c.hosts[lastKey] = h
		}
		if other := h.prefixes[r.Prefix]; other != nil {
			return invalid("routes %q and %q share host %q and prefix %q: change one", other.Name, r.Name, r.Host, r.Prefix)
		}
		h.prefixes[r.Prefix] = r
	}
	for _, h := range c.hosts {
		seen := map[int]bool{}
		for p := range h.prefixes {
			if !seen[len(p)] {
				seen[len(p)] = true
				h.lengths = append(h.lengths, len(p))
			}
		}
		slices.SortFunc(h.lengths, func(a, b int) int { return b - a })
	}
	return nil
}
