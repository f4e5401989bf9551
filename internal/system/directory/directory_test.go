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

// TestNearest asks for clients of each place. Danger: all of a zone's clients on one proxy, or none for them at all.
func TestNearest(t *testing.T) {
	var fronts []Endpoint
	datadriven.RunTest(t, "testdata/nearest", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "fronts":
			fronts = nil
			for _, line := range strings.Split(d.Input, "\n") {
				f := strings.Fields(line)
				fronts = append(fronts, Endpoint{Address: f[0], Zone: f[1], Region: f[2]})
			}
			return ""
		case "client":
			f := strings.Fields(d.Input)
			found := Nearest(fronts, f[0], f[1], "10.9.0.1")
			slices.Sort(found)
			return strings.Join(found, " ")
		}
		return "unknown command"
	})
}

// TestManyFronts: of more than an answer holds, each client gets its own part, and all are used.
func TestManyFronts(t *testing.T) {
	var fronts []Endpoint
	for i := range 200 {
		fronts = append(fronts, Endpoint{Address: fmt.Sprintf("10.0.%d.1:80", i), Zone: "z", Region: "r"})
	}
	used := map[string]int{}
	for client := range 100 {
		found := Nearest(fronts, "z", "r", fmt.Sprintf("10.9.0.%d", client))
		if len(found) != mostAddresses {
			t.Fatalf("%d addresses", len(found))
		}
		for _, a := range found {
			used[a]++
		}
	}
	if len(used) != len(fronts) {
		t.Errorf("%d of %d proxies are ever named", len(used), len(fronts))
	}
}

func TestHandlers(t *testing.T) {
	d := NewDirectory(2 * time.Second)
	ask := func(h http.Handler, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
		return w
	}
	if w := ask(d.Handler(), "/resolve?zone=z&region=r"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("knowing nobody: %d", w.Code)
	}
	d.SetEndpoints([]Endpoint{{"10.0.0.1:80", "z", "r"}})
	var a Answer
	w := ask(d.Handler(), "/resolve?name=h&zone=z&region=r")
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil || len(a.Addresses) != 1 || a.TTL != 2 {
		t.Errorf("%s: %v", w.Body, err)
	}
	if w := ask(d.Handler(), "/other"); w.Code != http.StatusNotFound {
		t.Errorf("unknown path: %d", w.Code)
	}
	ready := false
	h := Readiness(func() bool { return ready })
	if w := ask(h, "/readiness"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("unready: %d", w.Code)
	}
	ready = true
	if w := ask(h, "/readiness"); w.Code != http.StatusOK {
		t.Errorf("ready: %d", w.Code)
	}
}
