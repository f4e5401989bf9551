package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// weights is a table of one rule for each weight.
func weights(all ...float64) routes.Table {
	t := routes.Table{}
	for i, w := range all {
		t = append(t, routes.Rule{Name: fmt.Sprint("r", i), Source: routes.Match{"service": "*"}, Service: routes.Match{"service": "s"},
			Destinations: []routes.Destination{{Weight: w, Match: routes.Match{"version": "x"}}}})
	}
	return t
}

func allOf(gen int64, t routes.Table) RoutesUpdate {
	return RoutesUpdate{Generation: gen, Complete: true, Hash: t.Hash(), Rules: t, Cluster: "c"}
}

func onFrom(from, gen int64, a, b routes.Table) RoutesUpdate {
	return RoutesUpdate{Generation: gen, From: &from, Hash: b.Hash(), Ops: routes.Diff(a, b), Cluster: "c"}
}

func TestRouteState(t *testing.T) {
	one, two := weights(1, 1), weights(1, 2)
	h, err := RouteState{Generation: -1}.Apply(allOf(4, one))
	if err != nil || h.Generation != 4 || h.Cluster != "c" {
		t.Fatalf("%+v, %v", h, err)
	}
	for what, c := range map[string]struct {
		news RoutesUpdate
		want error
		gen  int64
	}{
		"the next":                 {onFrom(4, 5, one, two), nil, 5},
		"one after some":           {onFrom(4, 9, one, two), nil, 9},
		"a beat":                   {RoutesUpdate{Generation: 8}, nil, 8},
		"an older one":             {allOf(3, two), ErrRevisionRegressed, 4},
		"an older beat":            {RoutesUpdate{Generation: 3}, ErrRevisionRegressed, 4},
		"from elsewhere":           {onFrom(3, 5, one, two), ErrMismatch, 4},
		"ops that do not fit":      {onFrom(4, 5, weights(1, 1, 1), two), ErrMismatch, 4},
		"ops to something else":    {onFrom(4, 5, two, weights(1, 3)), nil, 5},
		"another hash":             {RoutesUpdate{Generation: 5, From: new(int64(4)), Hash: "0", Cluster: "c"}, ErrMismatch, 4},
		"a whole with other rules": {RoutesUpdate{Generation: 5, Complete: true, Hash: one.Hash(), Rules: two, Cluster: "c"}, ErrMismatch, 4},
		"another cluster's whole":  {RoutesUpdate{Generation: 1, Complete: true, Hash: two.Hash(), Rules: two, Cluster: "d"}, nil, 1},
		"another cluster's ops":    {RoutesUpdate{Generation: 5, From: new(int64(4)), Hash: one.Hash(), Cluster: "d"}, ErrMismatch, 4},
	} {
		got, err := h.Apply(c.news)
		if !errors.Is(err, c.want) || got.Generation != c.gen || err != nil && got.Hash != h.Hash {
			t.Errorf("%s: %+v, %v", what, got, err)
		}
	}
	if _, err := h.Apply(RoutesUpdate{Generation: 5, Complete: true, Rules: append(weights(1), weights(1)...)}); err == nil {
		t.Error("a table that makes no sense is taken")
	}
}

// FuzzRoutesUpdate takes lines from strangers: what is held is a sound table with the hash that was said, or what was held before.
func FuzzRoutesUpdate(f *testing.F) {
	one := weights(1, 1)
	for _, n := range []RoutesUpdate{allOf(5, one), onFrom(4, 5, one, weights(2)), {Generation: 6}} {
		text, err := json.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		held := RouteState{Cluster: "c", Generation: 4, Hash: one.Hash(), Rules: one}
		n, err := parseRoutesUpdate(text)
		if err != nil {
			return
		}
		got, err := held.Apply(n)
		if got.Rules.Hash() != got.Hash || got.Rules.Check() != nil || err != nil && got.Generation != 4 || got.Cluster == "c" && got.Generation < 4 {
			t.Fatalf("%s leads to %+v, %v", text, got, err)
		}
	})
}

// routeScript is a keeper that answers watches, one after the other, with news, and says nothing more.
type routeScript struct {
	at    string
	mu    sync.Mutex
	asked []string
}

func newRouteScript(t *testing.T, watches ...[]RoutesUpdate) *routeScript {
	s := &routeScript{}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		n := len(s.asked)
		s.asked = append(s.asked, r.URL.RawQuery)
		s.mu.Unlock()
		if n < len(watches) {
			for _, news := range watches[n] {
				_ = json.NewEncoder(w).Encode(news)
			}
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(web.Close)
	s.at = strings.TrimPrefix(web.URL, "http://")
	return s
}

func (s *routeScript) queries() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.asked, " ")
}

// TestRouteSubscriber is told a diff that leads elsewhere: the whole table is asked for once, and saved; the next process begins
// with it, unless it asks for other tags.
func TestRouteSubscriber(t *testing.T) {
	one, two, three := weights(1), weights(2), weights(3)
	wrong := onFrom(2, 3, two, three)
	wrong.Hash = one.Hash()
	s := newRouteScript(t, []RoutesUpdate{allOf(1, one), onFrom(1, 2, one, two), wrong}, []RoutesUpdate{allOf(3, three), {Generation: 7}})
	o := RouteOptions{Registry: []string{s.at}, Tags: map[string]string{"region": "a", "service": "p&q"}, Service: "s", Cache: NewRouteCache(t.TempDir(), "n"),
		Log: slog.New(slog.DiscardHandler)}
	var mu sync.Mutex
	told := ""
	o.OnUpdate = func(u RouteUpdate) {
		mu.Lock()
		defer mu.Unlock()
		told += fmt.Sprint(u.Generation, " ", u.Rules[0].Destinations[0].Weight, " ", u.Cached, "; ")
	}
	run := func(until func(*RouteSubscriber) bool) RouteStatus {
		f, err := NewRouteSubscriber(o)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { f.Run(ctx); close(ended) }()
		defer func() { <-ended }()
		defer cancel()
		eventually(t, "what is waited for", func() bool { return until(f) })
		return f.Status()
	}
	n := run(func(f *RouteSubscriber) bool { return f.Status().Generation == 7 })
	if n.CompleteTables != 2 || n.Diffs != 1 || n.Mismatches != 1 || n.Rules != 1 || n.Age < 0 {
		t.Errorf("figures %+v", n)
	}
	cut := "&tag=region%3Aa&tag=service%3Ap%26q&service=s"
	if q, want := s.queries(), "watch=1&ages=1"+cut+" watch=1&ages=1"+cut; q != want {
		t.Errorf("asked %s, want %s", q, want)
	}
	run(func(*RouteSubscriber) bool { return strings.HasSuffix(s.queries(), cut+"&from=7&cluster=c") })
	o.Tags = nil
	run(func(*RouteSubscriber) bool { return strings.HasSuffix(s.queries(), "&service=s") })
	if want := "1 1 false; 2 2 false; 3 3 false; 7 3 true; "; told != want {
		t.Errorf("told %q, want %q", told, want)
	}
}

// TestWatchTimeout has a keeper fall silent, before its answer, after it, and after some lines: within the 6 s after which what
// it misses counts as told (STANDING), the other keeper is watched and has said what is new.
func TestWatchTimeout(t *testing.T) {
	const clock = 6 * time.Second
	news := map[string]any{"/v1/servers": completeList(9, 1), "/v1/routes": allOf(9, weights(9))}
	lines := map[string]any{"/v1/servers": completeList(5, 0), "/v1/routes": allOf(5, weights(5))}
	for _, path := range []string{"/v1/servers", "/v1/routes"} {
		for _, silent := range []string{"before its answer", "after it", "after a line"} {
			t.Run(path+" "+silent, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					ctx, cancel := context.WithCancel(t.Context())
					var tasks sync.WaitGroup
					defer tasks.Wait()
					defer cancel()
					serve := func(_ context.Context, _, address string) (net.Conn, error) {
						near, far := net.Pipe()
						tasks.Add(1)
						go func() {
							defer tasks.Done()
							defer far.Close()
							stop := context.AfterFunc(ctx, func() { far.Close() })
							defer stop()
							buffer := make([]byte, 4096)
							if _, err := far.Read(buffer); err != nil {
								return
							}
							tasks.Add(1)
							go func() { // until the caller closes
								defer tasks.Done()
								_, _ = io.Copy(io.Discard, far)
							}()
							say := func(v any) {
								text, err := json.Marshal(v)
								if err != nil {
									t.Error(err)
								}
								fmt.Fprintf(far, "%x\r\n%s\n\r\n", len(text)+1, text)
							}
							head := func() { fmt.Fprint(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") }
							if address == "127.0.0.2:1" {
								for head(); ctx.Err() == nil; time.Sleep(time.Second) {
									say(news[path])
								}
								return
							}
							switch silent {
							case "after it":
								head()
							case "after a line":
								head()
								say(lines[path])
							}
							<-ctx.Done()
						}()
						return near, nil
					}
					told := make(chan time.Duration, 16)
					keepers := []string{"127.0.0.1:1", "127.0.0.2:1"}
					log := slog.New(slog.DiscardHandler)
					var run func(context.Context)
					if path == "/v1/servers" {
						f, err := NewListSubscriber(ListOptions{Registry: keepers, ShrinkLimits: ShrinkLimits{MaxShare: 1}, Log: log, OnUpdate: func(u ListUpdate) {
							for _, s := range u.Targets {
								if s.UID == "s-1" && s.State == list.Serving {
									told <- time.Since(began)
								}
							}
						}})
						if err != nil {
							t.Fatal(err)
						}
						f.http.DialContext, f.next, run = serve, 0, f.Run
					} else {
						f, err := NewRouteSubscriber(RouteOptions{Registry: keepers, Log: log, OnUpdate: func(u RouteUpdate) {
							if u.Generation == 9 {
								told <- time.Since(began)
							}
						}})
						if err != nil {
							t.Fatal(err)
						}
						f.http.DialContext, f.next, run = serve, 0, f.Run
					}
					tasks.Add(1)
					go func() { defer tasks.Done(); run(ctx) }()
					if after := <-told; after > clock/2 {
						t.Errorf("told %v after the watch fell silent", after)
					}
				})
			})
		}
	}
}
