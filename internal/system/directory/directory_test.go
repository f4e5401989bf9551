package directory

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestNearest resolves for clients of each zone and region. It guards against all clients of a zone using one proxy, or getting none.
func TestNearest(t *testing.T) {
	var endpoints []Endpoint
	datadriven.RunTest(t, "testdata/nearest", func(_ *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "fronts":
			endpoints = nil
			for _, line := range strings.Split(data.Input, "\n") {
				fields := strings.Fields(line)
				endpoints = append(endpoints, Endpoint{Address: fields[0], Zone: fields[1], Region: fields[2]})
			}
			return ""
		case "client":
			fields := strings.Fields(data.Input)
			found := Nearest(endpoints, fields[0], fields[1], "10.9.0.1")
			slices.Sort(found)
			return strings.Join(found, " ")
		}
		return "unknown command"
	})
}

// TestAddressesAreBoundedAndSpread: if there are more proxies than a response may contain, each client gets its own selection, and
// every proxy is used.
func TestAddressesAreBoundedAndSpread(t *testing.T) {
	var endpoints []Endpoint
	for i := range 200 {
		endpoints = append(endpoints, Endpoint{Address: fmt.Sprintf("10.0.%d.1:80", i), Zone: "z", Region: "r"})
	}
	used := map[string]int{}
	for client := range 100 {
		found := Nearest(endpoints, "z", "r", fmt.Sprintf("10.9.0.%d", client))
		if len(found) != maxAddresses {
			t.Fatalf("%d addresses", len(found))
		}
		for _, a := range found {
			used[a]++
		}
	}
	if len(used) != len(endpoints) {
		t.Errorf("only %d of %d proxies are returned to any client", len(used), len(endpoints))
	}
}

func TestHandlers(t *testing.T) {
	directory := NewDirectory(2 * time.Second)
	get := func(readiness http.Handler, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		readiness.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, target, nil))
		return w
	}
	if w := get(directory.Handler(), "/resolve?zone=z&region=r"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("without endpoints: status %d", w.Code)
	}
	directory.SetEndpoints([]Endpoint{{"10.0.0.1:80", "z", "r"}})
	var response Response
	w := get(directory.Handler(), "/resolve?name=h&zone=z&region=r")
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || len(response.Addresses) != 1 || response.TTL != 2 {
		t.Errorf("%s: %v", w.Body, err)
	}
	if w := get(directory.Handler(), "/other"); w.Code != http.StatusNotFound {
		t.Errorf("unknown path: status %d", w.Code)
	}
	ready := false
	readiness := Readiness(func() bool { return ready })
	if w := get(readiness, "/readiness"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("not ready: status %d", w.Code)
	}
	ready = true
	if w := get(readiness, "/readiness"); w.Code != http.StatusOK {
		t.Errorf("ready: status %d", w.Code)
	}
}
