package client

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// scripted is a keeper that says lines to whoever watches, and a list to whoever reads.
type scripted struct {
	*httptest.Server
	mu      sync.Mutex
	asked   []string // queries of watches
	read    int      // of the whole list
	lines   []list.List
	whole   list.List
	refuses int // watches that are refused first
}

func newScripted(t *testing.T, lines ...list.List) *scripted {
	s := &scripted{lines: lines}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if r.URL.Query().Get("watch") != "1" {
			s.read++
			l := s.whole
			s.mu.Unlock()
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		s.asked = append(s.asked, r.URL.RawQuery)
		refused := len(s.asked) <= s.refuses
		s.mu.Unlock()
		if refused {
			w.Header().Set("Retry-After", "0.05")
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		for _, l := range s.lines {
			_ = json.NewEncoder(w).Encode(l)
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *scripted) at() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *scripted) queries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.asked...)
}

// follow follows keepers until the test ends. held tells what the consumer holds, in order.
func follow(t *testing.T, o ListOptions) (f *ListSubscriber, held func() string) {
	t.Helper()
	var mu sync.Mutex
	all := map[string]list.Target{}
	o.Log = slog.New(slog.DiscardHandler)
	o.OnUpdate = func(u ListUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if u.Complete {
			clear(all)
		}
		for _, t := range u.Targets {
			if all[t.UID] = t; t.State == list.Deleted {
				delete(all, t.UID)
			}
		}
	}
	f, err := NewListSubscriber(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f, func() string {
		mu.Lock()
		defer mu.Unlock()
		s := ""
		for i := range 20 {
			if _, ok := all[fmt.Sprintf("s-%d", i)]; ok {
				s += fmt.Sprint(i, " ")
			}
		}
		return s
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

// TestSubscriberChangesNode has keepers say what cannot be taken: it is left for the next one, from the revision that is held.
func TestSubscriberChangesNode(t *testing.T) {
	old := int64(60_000)
	stale := completeList(9, 1, 2)
	stale.AgeMS = &old
	for name, bad := range map[string]*scripted{
		"a revision that goes back": newScripted(t, completeList(3, 1)),
		"a keeper out of touch":     newScripted(t, list.List{Rev: 5, Cluster: "c", AgeMS: &old, Targets: []list.Target{}}),
		"nonsense":                  newScripted(t, list.List{Rev: 6, Cluster: "c", Targets: []list.Target{{UID: "?"}}}),
		"a refusal":                 {Server: newScripted(t).Server, refuses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			good := newScripted(t, list.List{Rev: 6, Cluster: "c", Targets: []list.Target{target(7, list.Serving)}})
			if bad.refuses > 0 {
				bad = newScripted(t)
				bad.refuses = 1 << 30
			}
			cache := NewListCache(t.TempDir(), "n")
			if err := cache.Save(completeList(5, 0, 1, 2), time.Now()); err != nil {
				t.Fatal(err)
			}
			_, held := follow(t, ListOptions{Registry: []string{bad.at(), good.at()}, ShrinkLimits: DefaultShrinkLimits, Cache: cache})
			eventually(t, "the good keeper's news", func() bool { return held() == "0 1 2 7 " })
			if q := good.queries()[0]; q != "watch=1&ages=1&from=5&cluster=c" {
				t.Errorf("asked %s", q)
			}
			eventually(t, "saved", func() bool {
				l, _, ok, err := cache.Load(time.Now())
				return ok && err == nil && l.Rev == 6 && len(l.Targets) == 4
			})
		})
	}
}

// TestSubscriberShrunkenList shows a list that lost most servers: they are let go only when another keeper's list lacks them too.
func TestSubscriberShrunkenList(t *testing.T) {
	shrunk := newScripted(t, completeList(9, 0, 1))
	other := newScripted(t)
	other.whole = completeList(9, 0, 1, 2, 3)
	cache := NewListCache(t.TempDir(), "n")
	if err := cache.Save(completeList(5, 0, 1, 2, 3, 4, 5, 6, 7), time.Now()); err != nil {
		t.Fatal(err)
	}
	other.refuses = 1 << 30 // only the first one can be watched
	f, held := follow(t, ListOptions{Registry: []string{shrunk.at(), other.at()}, Cache: cache,
		ShrinkLimits: ShrinkLimits{MaxShare: 0.3, MinCount: 1, ConfirmAfter: 300 * time.Millisecond, ReleaseInterval: time.Hour}})
	eventually(t, "a second reading", func() bool { return held() == "0 1 2 3 " })
	other.mu.Lock()
	n := other.read
	other.mu.Unlock()
	if n != 1 {
		t.Errorf("the other keeper was read %d times", n)
	}
	if err := f.SetAddresses([]string{"nowhere"}); err == nil {
		t.Error("moved to no address")
	}
	next := newScripted(t, list.List{Rev: 10, Cluster: "c", Targets: []list.Target{target(9, list.Serving)}})
	if err := f.SetAddresses([]string{next.at()}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "news after a move", func() bool { return held() == "0 1 2 3 9 " })
}
