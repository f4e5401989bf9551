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

// PlainRegistry is a list service that agrees with nobody and forgets all when it ends, to show that the checkers find that.
// It answers at an address until ctx is done, and does what its flaw says besides.
func PlainRegistry(ctx context.Context, address, flaw string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	registry := &plainRegistry{flaw: flaw, entries: map[string]client.Entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", registry.handleList)
	mux.HandleFunc("GET /v1/servers/{uid}", registry.handleServer)
	mux.HandleFunc("POST /v1/servers", registry.handleRegister)
	mux.HandleFunc("POST /v1/servers/{uid}/drain", func(w http.ResponseWriter, r *http.Request) { registry.handleStateChange(w, r, list.Draining) })
	mux.HandleFunc("DELETE /v1/servers/{uid}", func(w http.ResponseWriter, r *http.Request) { registry.handleStateChange(w, r, list.Deleted) })
	mux.HandleFunc("POST /v1/renew", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, 200, map[string]any{"unknown": []string{}})
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		registry.mu.Lock()
		defer registry.mu.Unlock()
		writeJSON(w, 200, map[string]any{"role": "leader", "rev": len(registry.changes), "age_ms": 0, "cluster": "plain"})
	})
	(&plainRoutes{flaw: flaw}).addHandlers(mux)
	web := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = web.Close()
	}()
	if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type plainRegistry struct {
	flaw    string
	mu      sync.Mutex
	entries map[string]client.Entry
	changes []list.Target // that of revision i is at i-1
	changed chan struct{}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // to a caller who may have gone
}

func writeRefusal(w http.ResponseWriter, code int, reason string) {
	writeJSON(w, code, map[string]any{"code": "plain", "reason": reason})
}

// applyChange notes an entry's new state. k.mu is held.
func (k *plainRegistry) applyChange(e client.Entry) {
	k.changes = append(k.changes, e.Target)
	e.Revision = int64(len(k.changes))
	if k.entries[e.UID] = e; e.State == list.Deleted {
		delete(k.entries, e.UID)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *plainRegistry) handleRegister(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Servers []list.Registration
		Expect  *int64
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&c); err != nil {
		writeRefusal(w, 400, err.Error())
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	rev := int64(0)
	for _, s := range c.Servers {
		if c.Expect != nil && *c.Expect != k.entries[s.UID].Revision {
			writeRefusal(w, 409, "another revision")
			return
		}
		old := k.entries[s.UID]
		if old.State == list.Draining && old.BootMS == s.BootMS {
			s.State = list.Draining
		}
		k.applyChange(client.Entry{Target: s.Target, LeaseMS: s.LeaseMS})
		rev = int64(len(k.changes))
	}
	writeJSON(w, 200, client.Result{Revision: rev, Cluster: "plain"})
}

func (k *plainRegistry) handleStateChange(w http.ResponseWriter, r *http.Request, state list.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[r.PathValue("uid")]
	if !ok {
		writeRefusal(w, 404, "no such server")
		return
	}
	e.State = state
	k.applyChange(e)
	writeJSON(w, 200, client.Result{Revision: int64(len(k.changes)), Cluster: "plain"})
}

func (k *plainRegistry) handleServer(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[r.PathValue("uid")]
	if !ok {
		writeRefusal(w, 404, "no such server")
		return
	}
	writeJSON(w, 200, client.Result{Revision: e.Revision, Cluster: "plain", Server: &e})
}

// snapshot is the list. k.mu is held.
func (k *plainRegistry) snapshot() list.List {
	l := list.List{Rev: int64(len(k.changes)), All: true, Cluster: "plain", Targets: []list.Target{}}
	for _, e := range k.entries {
		l.Targets = append(l.Targets, e.Target)
	}
	return l
}

const gapInterval = 5

func (k *plainRegistry) handleList(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	l := k.snapshot()
	k.mu.Unlock()
	if r.URL.Query().Get("watch") != "1" {
		writeJSON(w, 200, l)
		return
	}
	out := http.NewResponseController(w)
	write := func(l list.List) bool {
		text, err := json.Marshal(l)
		if err == nil {
			_, err = fmt.Fprintf(w, "%s\n", text)
		}
		return err == nil && out.Flush() == nil
	}
	from := l.Rev
	if n, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64); err == nil && n <= l.Rev {
		from = n
	} else if !write(l) {
		return
	}
	for beat := time.NewTicker(list.Heartbeat); ; {
		k.mu.Lock()
		changes, changed := k.changes[from:], k.changed
		k.mu.Unlock()
		if k.flaw == "mute" {
			changes = nil
		}
		for _, t := range changes {
			if from++; k.flaw == "gap" && from%gapInterval == 0 {
				continue
			}
			if !write(list.List{Rev: from, Cluster: "plain", Targets: []list.Target{t}}) {
				return
			}
		}
		select {
		case <-changed:
		case <-beat.C:
			if !write(list.List{Rev: from, Cluster: "plain", Targets: []list.Target{}}) {
				return
			}
		case <-r.Context().Done():
			beat.Stop()
			return
		}
	}
}
