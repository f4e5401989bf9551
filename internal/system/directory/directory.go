// Package directory is the directory: it tells clients which proxies to go to (GET /resolve) and the platform whether this
// one is ready (GET /readiness). PROTOCOL.md "Ingress".
package directory

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

const (
	mostAddresses = 64 // of one answer, by PROTOCOL.md
	enoughNear    = 2  // ready proxies of a client's zone, or else region, that make farther ones needless
)

// Endpoint is a ready proxy.
type Endpoint struct {
	Address, Zone, Region string
}

// Answer is the body of an answer to GET /resolve.
type Answer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"` // seconds
}

// Nearest names the proxies for a client: those of its zone, or of its region where the zone has fewer than two, or all.
// Of more than 64 it takes those that rank first by a hash of both, so that different clients spread over all.
func Nearest(fronts []Endpoint, zone, region, client string) []string {
	for _, near := range []func(Endpoint) bool{
		func(f Endpoint) bool { return zone != "" && f.Zone == zone },
		func(f Endpoint) bool { return region != "" && f.Region == region },
		func(Endpoint) bool { return true },
	} {
		var found []string
		for _, f := range fronts {
			if near(f) {
				found = append(found, f.Address)
			}
		}
		if len(found) >= min(enoughNear, len(fronts)) {
			return cut(found, client)
		}
	}
	return nil
}

func cut(found []string, client string) []string {
	slices.SortFunc(found, func(a, b string) int {
		ranked, other := xxhash.Sum64String(client+a), xxhash.Sum64String(client+b)
		if ranked != other {
			if ranked > other {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return found[:min(len(found), mostAddresses)]
}

// Directory answers GET /resolve from the fronts that it was told last. It may be used by several goroutines.
type Directory struct {
	ttl    time.Duration
	fronts atomic.Pointer[[]Endpoint]
}

// NewDirectory returns a directory whose answers hold for ttl.
func NewDirectory(ttl time.Duration) *Directory { return &Directory{ttl: ttl} }

// SetEndpoints replaces the fronts. The slice must not be changed afterwards.
func (d *Directory) SetEndpoints(fronts []Endpoint) { d.fronts.Store(&fronts) }

// Handler answers GET /resolve: 200 with addresses; 503 while no ready proxy is known, so that the client asks another.
func (d *Directory) Handler() http.Handler {
	tree := mux.NewRouter()
	tree.Methods(http.MethodGet).Path("/resolve").HandlerFunc(d.resolve)
	return tree
}

func (d *Directory) resolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var addresses []string
	if fronts := d.fronts.Load(); fronts != nil {
		client, _, _ := strings.Cut(r.RemoteAddr, ":")
		addresses = Nearest(*fronts, query.Get("zone"), query.Get("region"), client)
	}
	w.Header().Set("Content-Type", "application/json")
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":"no ready proxy is known here yet: ask another"}`))
		return
	}
	body, err := json.Marshal(Answer{Addresses: addresses, TTL: d.ttl.Seconds()})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Readiness answers GET /readiness: 200 while ready tells true, else 503.
func Readiness(ready func() bool) http.Handler {
	tree := mux.NewRouter()
	tree.Methods(http.MethodGet).Path("/readiness").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return tree
}
