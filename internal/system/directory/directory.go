// Package directory tells clients which proxies to use (GET /resolve), and the platform whether this proxy is ready for clients
// (GET /readiness). Source: PROTOCOL.md, "Ingress".
//
// The problem: clients choose among the returned proxies themselves. So each client must get proxies close to it, the clients must
// spread evenly over the proxies, and a draining proxy must no longer be returned. A response is valid for a time to live, during which
// a client may use a proxy that has terminated meanwhile.
package directory

import (
	"cmp"
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
	maxAddresses = 64 // per response, as defined in PROTOCOL.md
	minNearby    = 2  // with this many ready proxies in a client's zone, or else region, farther ones are not returned
)

// Endpoint is a proxy that is ready for clients; Address is host:port.
type Endpoint struct {
	Address, Zone, Region string
}

// Response is the body of a response to GET /resolve with status 200.
type Response struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"` // seconds
}

// Nearest returns the addresses of the proxies for a client: those of its zone, or of its region if the zone has fewer than minNearby,
// or else all. selectByRank limits them to maxAddresses.
func Nearest(endpoints []Endpoint, zone, region, client string) []string {
	for _, isNear := range []func(Endpoint) bool{
		func(e Endpoint) bool { return zone != "" && e.Zone == zone },
		func(e Endpoint) bool { return region != "" && e.Region == region },
		func(Endpoint) bool { return true },
	} {
		var addresses []string
		for _, endpoint := range endpoints {
			if isNear(endpoint) {
				addresses = append(addresses, endpoint.Address)
			}
		}
		if len(addresses) >= min(minNearby, len(endpoints)) {
			return selectByRank(addresses, client)
		}
	}
	return nil
}

// selectByRank sorts addresses by a hash of client and address, the highest first, and returns the first maxAddresses. This
// rendezvous hashing, as in package ownership, spreads clients evenly over all addresses and returns the same ones to a client each time.
func selectByRank(addresses []string, client string) []string {
	slices.SortFunc(addresses, func(a, b string) int {
		rankA, rankB := xxhash.Sum64String(client+a), xxhash.Sum64String(client+b)
		return cmp.Or(cmp.Compare(rankB, rankA), strings.Compare(a, b))
	})
	return addresses[:min(len(addresses), maxAddresses)]
}

// Directory serves GET /resolve from the endpoints that were set last. It is safe for concurrent use.
type Directory struct {
	ttl       time.Duration
	endpoints atomic.Pointer[[]Endpoint]
}

// NewDirectory returns a directory without endpoints, whose responses are valid for ttl.
func NewDirectory(ttl time.Duration) *Directory { return &Directory{ttl: ttl} }

// SetEndpoints replaces the endpoints. The slice must not be changed afterwards.
func (d *Directory) SetEndpoints(endpoints []Endpoint) { d.endpoints.Store(&endpoints) }

// Handler serves GET /resolve: 200 with addresses, or 503 while no endpoint is known, so that the client asks another proxy.
func (d *Directory) Handler() http.Handler {
	router := mux.NewRouter()
	router.Methods(http.MethodGet).Path("/resolve").HandlerFunc(d.handleResolve)
	return router
}

// handleResolve serves GET /resolve. A client is identified by its IP.
func (d *Directory) handleResolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var addresses []string
	if endpoints := d.endpoints.Load(); endpoints != nil {
		client, _, _ := strings.Cut(r.RemoteAddr, ":")
		addresses = Nearest(*endpoints, query.Get("zone"), query.Get("region"), client)
	}
	w.Header().Set("Content-Type", "application/json")
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":"no ready proxy is known here yet: ask another"}`))
		return
	}
	body, err := json.Marshal(Response{Addresses: addresses, TTL: d.ttl.Seconds()})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Readiness serves GET /readiness: 200 while ready returns true, else 503.
func Readiness(ready func() bool) http.Handler {
	router := mux.NewRouter()
	router.Methods(http.MethodGet).Path("/readiness").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return router
}
