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
// table. With the flaw "mute" a watch gets its first line only; with "back" a restore takes the generation back with the table.
type plainRoutes struct {
	flaw    registryFlaw
	mu      sync.Mutex
	current plainTable
	changed chan struct{} // closed at the next change
}

type plainTable struct {
	Gen   int64        `json:"gen"`
	Rules routes.Table `json:"rules"`
}

const plainRoutesHeartbeat = time.Second

func newPlainRoutes(flaw registryFlaw) *plainRoutes {
	return &plainRoutes{flaw: flaw, current: plainTable{Rules: routes.Table{}}, changed: make(chan struct{})}
}

func (p *plainRoutes) addHandlers(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/routes", func(w http.ResponseWriter, r *http.Request) {
		p.handleReplace(w, r, func(t plainTable, gen int64) plainTable { return plainTable{gen + 1, t.Rules} })
	})
	mux.HandleFunc("GET /v1/routes", p.handleGet)
	mux.HandleFunc("GET /v1/backup", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, http.StatusOK, p.current)
	})
	mux.HandleFunc("POST /v1/restore", func(w http.ResponseWriter, r *http.Request) {
		p.handleReplace(w, r, func(t plainTable, gen int64) plainTable {
			if p.flaw != registryRewind {
				t.Gen = gen + 1
			}
			return t
		})
	})
}

// handleReplace replaces the current table by what next makes of the one received and of the current generation. A PUT of the same
// rules changes nothing.
func (p *plainRoutes) handleReplace(w http.ResponseWriter, r *http.Request, next func(received plainTable, gen int64) plainTable) {
	var received plainTable
	if err := json.NewDecoder(io.LimitReader(r.Body, list.MaxListBytes)).Decode(&received); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodPost || received.Rules.Hash() != p.current.Rules.Hash() {
		p.current = next(received, p.current.Gen)
		close(p.changed)
		p.changed = make(chan struct{})
	}
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
