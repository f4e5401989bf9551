package healthcheck

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePicker names one server, and records the answers.
type fakePicker struct {
	target   pick.HealthTarget
	answered chan time.Duration
}

func (f *fakePicker) HealthTargets() []pick.HealthTarget { return []pick.HealthTarget{f.target} }

func (f *fakePicker) RecordHealth(_ string, askedAt time.Time, left time.Duration) {
	if askedAt.After(time.Now()) {
		left = -1
	}
	select {
	case f.answered <- left:
	default:
	}
}

// recorded returns the answer that was recorded last, if any.
func (f *fakePicker) recorded() (left time.Duration, ok bool) {
	select {
	case left := <-f.answered:
		return left, true
	default:
		return 0, false
	}
}

func quietLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

func newFakePicker(server *httptest.Server) *fakePicker {
	return &fakePicker{answered: make(chan time.Duration, 1),
		target: pick.HealthTarget{Server: pick.Server{ID: "i-1", Address: strings.TrimPrefix(server.URL, "http://")}, Path: "/health"}}
}

// TestAnswers checks which answers count: those of the server itself with status 200 and a number of milliseconds, or without one.
func TestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		status   int
		id, cold string
		left     time.Duration
		ok       bool
	}{
		"warm":                 {200, "i-1", "", 0, true},
		"warm by its number":   {200, "i-1", "0", 0, true},
		"warming up":           {200, "i-1", "2900", 2900 * time.Millisecond, true},
		"another server":       {200, "i-2", "", 0, false},
		"no server":            {200, "", "", 0, false},
		"not well":             {503, "i-1", "", 0, false},
		"redirected":           {307, "i-1", "", 0, false},
		"number is negative":   {200, "i-1", "-1", 0, false},
		"number is no number":  {200, "i-1", "soon", 0, false},
		"number is too large":  {200, "i-1", "99999999999", 0, false},
		"number with a suffix": {200, "i-1", "10ms", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodGet || r.URL.Path != "/health" || r.Header.Get(headerTargetInstance) != "i-1" {
					t.Errorf("%s %s for %q", r.Method, r.URL, r.Header.Get(headerTargetInstance))
				}
				w.Header().Set(headerInstanceID, test.id)
				w.Header().Set("Location", "/elsewhere")
				if test.cold != "" {
					w.Header().Set(headerWarmUpLeft, test.cold)
				}
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			picker := newFakePicker(server)
			checker := New(picker, quietLog())
			defer checker.client.CloseIdleConnections()
			checker.check(t.Context(), picker.target)
			if left, ok := picker.recorded(); ok != test.ok || left != test.left {
				t.Errorf("recorded %v (%v), want %v (%v)", left, ok, test.left, test.ok)
			}
		})
	}
}

// TestUnusableTarget checks that a path that is none, and an address where nobody answers, end a check without an answer.
func TestUnusableTarget(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	picker := newFakePicker(server)
	checker := New(picker, quietLog())
	picker.target.Path = "\x7f"
	checker.check(t.Context(), picker.target)
	server.Close()
	picker.target.Path = "/health"
	checker.check(t.Context(), picker.target)
	if len(picker.answered) > 0 {
		t.Error("an answer was recorded")
	}
}

// TestOneCheckInFlight checks that a server which does not answer gets one check at a time, and that Run ends with its context although a
// check is in flight.
func TestOneCheckInFlight(t *testing.T) {
	var mu sync.Mutex
	inFlight, most := 0, 0
	arrived := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		inFlight++
		most = max(most, inFlight)
		mu.Unlock()
		arrived <- struct{}{}
		<-r.Context().Done()
		mu.Lock()
		inFlight--
		mu.Unlock()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		New(newFakePicker(server), quietLog()).Run(ctx)
		close(ended)
	}()
	<-arrived
	<-arrived // after the first check has timed out
	cancel()
	<-ended
	mu.Lock()
	defer mu.Unlock()
	if most != 1 {
		t.Errorf("%d checks were in flight at once", most)
	}
}
