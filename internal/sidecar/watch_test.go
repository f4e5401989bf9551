package sidecar

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestWatch follows the list through a drain, an invalid line and a broken connection.
func TestWatch(t *testing.T) {
	kept, drained := startBackend(t, respondWith(200, "", "kept")), startBackend(t, respondWith(200, "", "drained"))
	source := startRegistry(t)
	prog := start(t, configText(source.address, serving(41, drained), testSettings))
	first := within(t, source.watches, "watch")
	if first.query != "watch=1" { // the list known before may be old
		t.Errorf("query %q", first.query)
	}
	first.lines <- serving(41, drained)
	if g := prog.ask("pay"); g.body != "drained" {
		t.Errorf("answer %+v", g)
	}
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; {
			g := prog.ask("read")
			if g.body == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("answer %+v, want %q", g, want)
			}
		}
	}
	first.lines <- "" // a heartbeat
	first.lines <- listText(42, false, entry("s-0", drained.address, "DRAINING", 0), entry("s-1", kept.address, "SERVING", 0))
	until("kept")
	for range 20 {
		if g := prog.ask("pay"); g.body != "kept" {
			t.Fatalf("a request went to a draining server: %+v", g)
		}
	}
	first.lines <- `{"rev":43,"targets":[{"uid":"s-1","endpoint":"nowhere","state":"SERVING"}]}`
	second := within(t, source.watches, "watch after a bad line")
	if second.query != "watch=1&from=42" {
		t.Errorf("query %q after a bad line", second.query)
	}
	if g := prog.ask("pay"); g.body != "kept" {
		t.Errorf("the list was lost by an invalid line: %+v", g)
	}
	close(second.lines)
	third := within(t, source.watches, "watch after a break")
	if g := prog.ask("pay"); g.body != "kept" {
		t.Errorf("the list was lost by a broken connection: %+v", g)
	}
	third.lines <- listText(44, true, entry("s-0", drained.address, "SERVING", 0))
	until("drained")
}

// TestReload has discovery move, twice, while the old address stops answering: the new ones are asked
// for the complete list, and a configuration that cannot be read changes nothing.
func TestReload(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			first, second := startBackend(t, respondWith(200, "", "first")), startBackend(t, respondWith(200, "", "second"))
			d, next := startRegistry(t), startRegistry(t)
			settings := strings.Replace(testSettings, `"discovery":"pushed"`, `"discovery":"`+mode+`"`, 1)
			prog := start(t, configText(d.address, serving(41, first), settings))
			within(t, d.watches, "watch")
			if g := prog.ask("pay"); g.body != "first" {
				t.Errorf("answer %+v", g)
			}
			prog.discovery.Store("")
			prog.reload <- syscall.SIGHUP
			prog.discovery.Store(next.address)
			prog.reload <- syscall.SIGHUP
			w := within(t, next.watches, "watch at the new address")
			if w.query != "watch=1" {
				t.Errorf("query %q at the new address", w.query)
			}
			if g := prog.ask("pay"); g.body != "first" {
				t.Errorf("answer %+v before the new address says anything", g)
			}
			w.lines <- serving(7, second)
			for end := time.Now().Add(testTimeout); prog.ask("pay").body != "second"; {
				if time.Now().After(end) {
					t.Fatal("the list of the new address was not applied")
				}
			}
			close(w.lines)
			if w = within(t, next.watches, "watch after a break"); w.query != "watch=1&from=7" {
				t.Errorf("query %q after a break", w.query)
			}
		})
	}
}

// TestDiscoveryAt has the configuration file be replaced: the environment still has the address from before that.
func TestDiscoveryAt(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	getenv := func(key string) string {
		return map[string]string{"PROXY_CONFIG": file, "PROXY_DISCOVERY": "127.0.0.1:1"}[key]
	}
	for _, test := range []struct{ text, want string }{
		{configText("127.0.0.1:2", "", testSettings), "127.0.0.1:2"},
		{configText("nowhere", "", testSettings), ""},
		{"{", ""},
	} {
		if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if at, err := DiscoveryAt(getenv); at != test.want || (err == nil) != (test.want != "") {
			t.Errorf("%.30s: %q, error %v", test.text, at, err)
		}
	}
}

// TestWatchesReopenApart checks that sidecars whose watches end at the same time reopen them spread out.
func TestWatchesReopenApart(t *testing.T) {
	for pause := minBackoff; pause <= maxBackoff; pause *= 2 {
		quarters := [4]int{}
		for range 1000 {
			wait := jitter(pause)
			if wait < pause/2 || wait >= pause {
				t.Fatalf("it waits %v, want half of %v or more, and less than all", wait, pause)
			}
			quarters[(wait-pause/2)*8/pause]++
		}
		for i, n := range quarters {
			if n < 150 {
				t.Errorf("%d of 1000 sidecars ask in quarter %d of the second half of %v", n, i, pause)
			}
		}
	}
}

func TestReady(t *testing.T) {
	d := startRegistry(t)
	p := start(t, configText(d.address, "", testSettings))
	health := func() int {
		return healthStatus(t, p.client, p.address)
	}
	if got := health(); got != 503 {
		t.Errorf("status %d before any server is known", got)
	}
	w := within(t, d.watches, "watch")
	if w.query != "watch=1" {
		t.Errorf("query %q with no list in hand", w.query)
	}
	w.lines <- serving(1, startBackend(t, neverAnswer))
	for end := time.Now().Add(testTimeout); health() != 200; {
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// TestWarmingUpServer starts a sidecar just after a server has started.
func TestWarmingUpServer(t *testing.T) {
	config, err := load(t, configText("127.0.0.1:9", "", testSettings))
	if err != nil {
		t.Fatal(err)
	}
	config.Settings.SubscribeToDiscovery = true // so that no watch is opened in this test
	booted := time.Now().Add(-3 * time.Second)
	for _, test := range []struct {
		boot time.Time
		cold bool
	}{{booted, true}, {time.Time{}, false}, {booted.Add(-2 * originAge), false}} {
		config.Known = List{Version: 1, Complete: true, Targets: []Target{{ID: "s-0", Address: "127.0.0.1:9", Zone: "a", Kind: "m", Size: 1, Started: test.boot}}}
		h, err := newHost(context.Background(), config, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		started := h.started(config.Known.Targets[0])
		if age := h.clock() - started; test.cold && (started <= 0 || age < 3*time.Second || age > 3*time.Second+testTimeout) || !test.cold && started > 0 {
			t.Errorf("boot %v: started %v, age %v", test.boot, started, age)
		}
	}
}
