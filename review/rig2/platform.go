package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how late the platform's list shows what happens to the servers.
const listLag = 800 * time.Millisecond

// platform is the platform's list of servers.
type platform struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	entries []*listEntry
}

// listEntry is one incarnation of a server, with the moments from which the list shows it.
type listEntry struct {
	ID       string `json:"id"`
	Target   string `json:"target"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Revision string `json:"revision"`
	Slots    int    `json:"slots"`
	Phase    string `json:"phase"`
	ColdLeft int    `json:"cold_left_ms"`

	draining, gone time.Time // zero: it is neither
}

// serveOn starts an HTTP server at a free port of an address.
func serveOn(ip string, handler http.Handler) (*http.Server, string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func newPlatform(ip string) (created *platform, err error) {
	created = &platform{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", created.list)
	created.server, created.address, err = serveOn(ip, mux)
	return created, err
}

// add lists a server.
func (p *platform) add(entry *listEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, entry)
}

// list answers GET /instances with the list as it was listLag ago, on one page.
func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shownAt := time.Now().Add(-listLag)
	shown := []listEntry{}
	for _, entry := range p.entries {
		if !entry.gone.IsZero() && shownAt.After(entry.gone) {
			continue
		}
		copied := *entry
		if copied.Phase = "serving"; !entry.draining.IsZero() && shownAt.After(entry.draining) {
			copied.Phase = "draining"
		}
		shown = append(shown, copied)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": shown, "next_token": nil})
}
