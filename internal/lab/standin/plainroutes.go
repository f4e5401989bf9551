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

// plainRoutes is a plain keeper's route table, which agrees with nobody's. It always says the whole. With the flaw "mute" it says no
// more than the first; with "back" a restore takes the generation back with the table.
type plainRoutes struct {
	flaw    string
	mu      sync.Mutex
	current plainTable
	changed chan struct{}
}

type plainTable struct {
	Gen   int64        `json:"gen"`
	Rules routes.Table `json:"rules"`
}

func (k *plainRoutes) addHandlers(mux *http.ServeMux) {
	k.changed, k.current.Rules = make(chan struct{}), routes.Table{}
	mux.HandleFunc("PUT /v1/routes", func(w http.ResponseWriter, r *http.Request) {
		k.handleReplace(w, r, func(t plainTable, gen int64) plainTable { return plainTable{gen + 1, t.Rules} })
	})
	mux.HandleFunc("GET /v1/routes", k.handleGet)
	mux.HandleFunc("GET /v1/backup", func(w http.ResponseWriter, _ *http.Request) {
		k.mu.Lock()
		defer k.mu.Unlock()
		writeJSON(w, 200, k.current)
	})
	mux.HandleFunc("POST /v1/restore", func(w http.ResponseWriter, r *http.Request) {
		k.handleReplace(w, r, func(t plainTable, gen int64) plainTable {
			if k.flaw != "back" {
				t.Gen = gen + 1
			}
			return t
		})
	})
}

// handleReplace takes a table in the place of the one that is there.
func (k *plainRoutes) handleReplace(w http.ResponseWriter, r *http.Request, next func(t plainTable, gen int64) plainTable) {
	var t plainTable
	if err := json.NewDecoder(io.LimitReader(r.Body, list.MostText)).Decode(&t); err != nil {
		writeRefusal(w, 400, err.Error())
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Method == http.MethodPost || t.Rules.Hash() != k.current.Rules.Hash() {
		k.current = next(t, k.current.Gen)
		close(k.changed)
		k.changed = make(chan struct{})
	}
	writeJSON(w, 200, map[string]any{"gen": k.current.Gen, "cluster": "plain"})
}

func (k *plainRoutes) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var tags map[string]string
	for _, pair := range q["tag"] {
		if tag, v, ok := strings.Cut(pair, ":"); ok {
			if tags == nil {
				tags = map[string]string{}
			}
			tags[tag] = v
		}
	}
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for held := ""; ; {
		k.mu.Lock()
		now, changed := k.current, k.changed
		k.mu.Unlock()
		t := now.Rules.Relevant(tags, q.Get("service"))
		if h := t.Hash(); h != held && (held == "" || k.flaw != "mute") {
			held = h
			line, err := json.Marshal(map[string]any{"gen": now.Gen, "all": true, "hash": h, "cluster": "plain", "rules": t})
			if err != nil {
				return
			}
			fmt.Fprintf(w, "%s\n", line)
		} else {
			fmt.Fprintln(w)
		}
		if q.Get("watch") != "1" || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
		case <-r.Context().Done():
			return
		}
	}
}
