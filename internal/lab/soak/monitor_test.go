package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
)

// TestWatchCountsViolations checks that all violations that a process has counted are listed with its name, and that a status without counts has
// none.
func TestWatchCountsViolations(t *testing.T) {
	answer := `{"version":1}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			t.Errorf("asked for %s", r.URL.Path)
		}
		_, _ = fmt.Fprint(w, answer)
	}))
	defer s.Close()
	w := &invariantMonitor{}
	addresses := map[string]string{"proxy-a": s.Listener.Addr().String(), "proxy-b": "127.0.0.1:1"}
	for _, test := range []struct {
		answer string
		lines  []string
	}{
		{`{"version":1}`, nil},
		{`{"violations":{}}`, nil},
		{`{"violations":{"warm too early":0}}`, nil},
		{`{"violations":{"warm too early":3,"more than the pace":1}}`, []string{"VIOLATION: more than the pace at proxy-a, 1 times",
			"VIOLATION: warm too early at proxy-a, 3 times"}},
		{`{"version":1}`, []string{"VIOLATION: more than the pace at proxy-a, 1 times", "VIOLATION: warm too early at proxy-a, 3 times"}},
		{`not JSON`, []string{"STATUS: proxy-a: status 200, 8 bytes: invalid character 'o' in literal null (expecting 'u')", "VIOLATION: more than the pace at proxy-a, 1 times", "VIOLATION: warm too early at proxy-a, 3 times"}},
	} {
		answer = test.answer
		w.pollAll(t.Context(), addresses)
		if got := w.lines(); !slices.Equal(got, test.lines) {
			t.Errorf("after %s: %q", test.answer, got)
		}
	}
	if w.polls != 5 {
		t.Errorf("%d statuses were read, want 5", w.polls)
	}
}
