package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// registryFlaw is what a plain registry node does wrong, as commands name it. The zero value is nothing beyond its plainness.
type registryFlaw string

const (
	registryMute   registryFlaw = "mute" // watches get no changes
	registryGap    registryFlaw = "gap"  // watches get no change of every gapInterval-th revision
	registryRewind registryFlaw = "back" // a restore takes the route table's generation back
)

const (
	gapInterval        = 5       // revisions, of which one is left out
	plainCluster       = "plain" // id of the cluster
	maxRegisterBytes   = 1 << 20 // of a request
	plainHeaderTimeout = 5 * time.Second
)

// PlainRegistry is a registry node that replicates with no other and forgets all when it ends, to show that the checkers find that.
// It answers at an address until ctx is done, and does what its flaw says besides. It returns an error where it cannot listen.
func PlainRegistry(ctx context.Context, address, flaw string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	registry := &plainRegistry{flaw: registryFlaw(flaw), entries: map[string]client.Entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	registry.addHandlers(mux)
	newPlainRoutes(registryFlaw(flaw)).addHandlers(mux)
	web := &http.Server{Handler: mux, ReadHeaderTimeout: plainHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = web.Close() // the process ends next
	}()
	if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// plainRegistry is the list of servers of a plain registry node.
type plainRegistry struct {
	flaw registryFlaw

	mu      sync.Mutex
	entries map[string]client.Entry // by UID
	changes []list.Target           // that of revision i is at i-1
	changed chan struct{}           // closed at the next change
}

// addHandlers adds the handlers of the list, under the paths of the registry's HTTP API.
func (p *plainRegistry) addHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/servers", p.handleList)
	mux.HandleFunc("GET /v1/servers/{uid}", p.handleServer)
	mux.HandleFunc("POST /v1/servers", p.handleRegister)
	mux.HandleFunc("POST /v1/servers/{uid}/drain", func(w http.ResponseWriter, r *http.Request) { p.handleStateChange(w, r, list.Draining) })
	mux.HandleFunc("DELETE /v1/servers/{uid}", func(w http.ResponseWriter, r *http.Request) { p.handleStateChange(w, r, list.Deleted) })
	mux.HandleFunc("POST /v1/renew", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"unknown": []string{}})
	})
	mux.HandleFunc("GET /v1/status", p.handleStatus)
}

// writeJSON answers with a value in JSON. A caller who has gone needs no answer.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeRefusal answers that a request is refused.
func writeRefusal(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, map[string]any{"code": "plain", "reason": reason})
}

// handleStatus answers as a leader who is up to date, whatever other nodes there are.
func (p *plainRegistry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"role": "leader", "rev": len(p.changes), "age_ms": 0, "cluster": plainCluster})
}

// revision is that of the latest change. The caller holds p.mu.
func (p *plainRegistry) revision() int64 { return int64(len(p.changes)) }

// applyChange applies an entry's new state as the next revision. The caller holds p.mu.
func (p *plainRegistry) applyChange(entry client.Entry) {
	p.changes = append(p.changes, entry.Target)
	entry.Revision = p.revision()
	p.entries[entry.UID] = entry
	if entry.State == list.Deleted {
		delete(p.entries, entry.UID)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// handleRegister registers servers one after the other, until one has another revision than the caller expects. A server that drains still
// does when the same process registers again.
func (p *plainRegistry) handleRegister(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Servers []list.Registration
		Expect  *int64
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRegisterBytes)).Decode(&call); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := int64(0)
	for _, registration := range call.Servers {
		existing := p.entries[registration.UID]
		if call.Expect != nil && *call.Expect != existing.Revision {
			writeRefusal(w, http.StatusConflict, "another revision")
			return
		}
		if existing.State == list.Draining && existing.BootMS == registration.BootMS {
			registration.State = list.Draining
		}
		p.applyChange(client.Entry{Target: registration.Target, LeaseMS: registration.LeaseMS})
		revision = p.revision()
	}
	writeJSON(w, http.StatusOK, client.Result{Revision: revision, Cluster: plainCluster})
}

// requestedEntry is the entry that a request's path names. It answers the request, and ok is false, where there is none. The caller holds
// p.mu.
func (p *plainRegistry) requestedEntry(w http.ResponseWriter, r *http.Request) (entry client.Entry, ok bool) {
	entry, ok = p.entries[r.PathValue("uid")]
	if !ok {
		writeRefusal(w, http.StatusNotFound, "no such server")
	}
	return entry, ok
}

// handleStateChange drains or deregisters a server.
func (p *plainRegistry) handleStateChange(w http.ResponseWriter, r *http.Request, state list.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.requestedEntry(w, r)
	if !ok {
		return
	}
	entry.State = state
	p.applyChange(entry)
	writeJSON(w, http.StatusOK, client.Result{Revision: p.revision(), Cluster: plainCluster})
}

// handleServer answers with one server's entry.
func (p *plainRegistry) handleServer(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.requestedEntry(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, client.Result{Revision: entry.Revision, Cluster: plainCluster, Server: &entry})
}

// snapshot is the complete list.
func (p *plainRegistry) snapshot() list.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := list.List{Rev: p.revision(), All: true, Cluster: plainCluster, Targets: []list.Target{}}
	for _, entry := range p.entries {
		snapshot.Targets = append(snapshot.Targets, entry.Target)
	}
	return snapshot
}

// handleList answers with the list, or with a watch of it: a snapshot, unless the caller has a revision of this node, and a line for
// each change after that.
func (p *plainRegistry) handleList(w http.ResponseWriter, r *http.Request) {
	snapshot := p.snapshot()
	query := r.URL.Query()
	if query.Get("watch") != "1" {
		writeJSON(w, http.StatusOK, snapshot)
		return
	}
	out := lineWriter{w, http.NewResponseController(w)}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from > snapshot.Rev {
		from = snapshot.Rev
		if !out.write(snapshot) {
			return
		}
	}
	p.watch(r.Context(), out, from)
}

// watch writes the changes after a revision, and heartbeats, until the caller hangs up.
func (p *plainRegistry) watch(ctx context.Context, out lineWriter, from int64) {
	heartbeat := time.NewTicker(list.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		p.mu.Lock()
		changes, changed := p.changes[from:], p.changed
		p.mu.Unlock()
		if p.flaw == registryMute {
			changes = nil
		}
		for _, target := range changes {
			from++
			if p.flaw == registryGap && from%gapInterval == 0 {
				continue
			}
			if !out.write(list.List{Rev: from, Cluster: plainCluster, Targets: []list.Target{target}}) {
				return
			}
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if !out.write(list.List{Rev: from, Cluster: plainCluster, Targets: []list.Target{}}) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// lineWriter writes lists to a watch, a line each.
type lineWriter struct {
	to         io.Writer
	controller *http.ResponseController
}

// write writes and flushes a line, and reports whether that succeeded.
func (l lineWriter) write(update list.List) bool {
	text, err := json.Marshal(update)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(l.to, "%s\n", text); err != nil {
		return false
	}
	return l.controller.Flush() == nil
}
