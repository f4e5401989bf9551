package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// plainRoutes is the route table of a plain registry node, which replicates it to no other. Every line of a watch is the complete
// table. With the flaw registryMute a watch gets its first line only; with registryRewind a restore takes the generation back with the table.
type plainRoutes struct {
	flaw registryFlaw

	mu      sync.Mutex
	current plainTable
	changed chan struct{} // closed at the next change
}

// plainTable is a route table and its generation, as backups and requests have it.
type plainTable struct {
	Gen   int64        `json:"gen"`
	Rules routes.Table `json:"rules"`
}

const plainRoutesHeartbeat = time.Second // from one line of a watch to the next at most

// newPlainRoutes returns an empty table of generation 0.
func newPlainRoutes(flaw registryFlaw) *plainRoutes {
	return &plainRoutes{flaw: flaw, current: plainTable{Rules: routes.Table{}}, changed: make(chan struct{})}
}

// addHandlers adds the handlers of routes, backup and restore, under the paths of the registry's HTTP API.
func (p *plainRoutes) addHandlers(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/routes", p.handlePut)
	mux.HandleFunc("GET /v1/routes", p.handleGet)
	mux.HandleFunc("GET /v1/backup", p.handleBackup)
	mux.HandleFunc("POST /v1/restore", p.handleRestore)
}

// handleBackup answers with the table and its generation.
func (p *plainRoutes) handleBackup(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.current)
}

// handlePut replaces the table by another one as the next generation. The same rules change nothing.
func (p *plainRoutes) handlePut(w http.ResponseWriter, r *http.Request) {
	received, ok := readPlainTable(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if received.Rules.Hash() != p.current.Rules.Hash() {
		p.replace(plainTable{Gen: p.current.Gen + 1, Rules: received.Rules})
	}
	p.writeGeneration(w)
}

// handleRestore replaces the table by that of a backup, as the next generation unless the flaw takes that back as well.
func (p *plainRoutes) handleRestore(w http.ResponseWriter, r *http.Request) {
	received, ok := readPlainTable(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flaw != registryRewind {
		received.Gen = p.current.Gen + 1
	}
	p.replace(received)
	p.writeGeneration(w)
}

// readPlainTable reads the table of a request. It answers the request, and ok is false, where that is none.
func readPlainTable(w http.ResponseWriter, r *http.Request) (received plainTable, ok bool) {
	if err := json.NewDecoder(io.LimitReader(r.Body, list.MaxListBytes)).Decode(&received); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return plainTable{}, false
	}
	return received, true
}

// replace replaces the table and wakes the watches. The caller holds p.mu.
func (p *plainRoutes) replace(next plainTable) {
	p.current = next
	close(p.changed)
	p.changed = make(chan struct{})
}

// writeGeneration answers with the current generation. The caller holds p.mu.
func (p *plainRoutes) writeGeneration(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"gen": p.current.Gen, "cluster": plainCluster})
}

// handleGet answers with the part of the table that concerns the caller, or with a watch of it. An empty line says that nothing
// changed.
func (p *plainRoutes) handleGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tags := parseTags(query["tag"])
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(plainRoutesHeartbeat)
	defer heartbeat.Stop()
	for lastHash := ""; ; {
		p.mu.Lock()
		current, changed := p.current, p.changed
		p.mu.Unlock()
		relevant := current.Rules.Relevant(tags, query.Get("service"))
		line := []byte{}
		if hash := relevant.Hash(); hash != lastHash && (lastHash == "" || p.flaw != registryMute) {
			lastHash = hash
			var err error
			line, err = json.Marshal(map[string]any{"gen": current.Gen, "all": true, "hash": hash, "cluster": plainCluster, "rules": relevant})
			if err != nil {
				return
			}
		}
		_, _ = fmt.Fprintf(w, "%s\n", line) // an error shows at the flush
		if query.Get("watch") != "1" || controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-r.Context().Done():
			return
		}
	}
}

// parseTags parses pairs "tag:value"; others are left out. No pair gives nil.
func parseTags(pairs []string) map[string]string {
	var tags map[string]string
	for _, pair := range pairs {
		tag, value, ok := strings.Cut(pair, ":")
		if !ok {
			continue
		}
		if tags == nil {
			tags = map[string]string{}
		}
		tags[tag] = value
	}
	return tags
}
