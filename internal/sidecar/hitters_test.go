package sidecar

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

func withHitters(config, how string) string {
	return strings.Replace(config, `"settings":`, fmt.Sprintf(`"hitters":%s,"settings":`, how), 1)
}

// TestHeavyIsReported floods a sidecar from one client: that client alone is reported as heavy, by
// name in the log and by key in INFO.
func TestHeavyIsReported(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	config, err := load(t, withHitters(configText(startRegistry(t).address, serving(1, b), testSettings),
		`{"header":"x-customer","window_s":0.1,"hold_s":0.1,"bound_s":10}`), "PROXY_CONTROL="+freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	var log logText
	p := startLogging(t, config, &log, drainTimes{quietTime: time.Millisecond, finish: testTimeout})
	key := fmt.Sprintf("svc.heavy_clients.%016x:", hitters.Key(hitters.Key(0, ""), "loud"))
	for end, n := time.Now().Add(testTimeout), 0; ; n++ {
		r := p.request(context.Background(), "read", "50000")
		r.Header.Set("X-Customer", "loud")
		if n%3 == 0 {
			r.Header.Set("X-Customer", "still-"+strconv.Itoa(n))
		}
		if g := p.do(r); g.status != 200 {
			t.Fatalf("%+v", g)
		}
		if n%10 != 0 {
			continue
		}
		text := dialControl(t, config.Control, "INFO\n")
		if strings.Contains(text, "svc.heavy_clients:1|g\n"+key) && strings.Contains(text, "svc.gave_way:0|c\n") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the client is not reported as heavy:\n%s\n%s", text, log.String())
		}
	}
	if text := log.String(); !strings.Contains(text, "state=heavy") || !strings.Contains(text, "name=loud") || strings.Contains(text, "still") {
		t.Errorf("the log:\n%s", text)
	}
}

func TestHittersConfig(t *testing.T) {
	for _, test := range []struct{ how, wrong string }{
		{`{}`, ""},
		{`{"header":"X-Api-Key","salt":"s","bars":[0.1,0.05],"window_s":1,"hold_s":0,"cool_s":3,"bound_s":2,"later":1}`, ""},
		{`{"header":""}`, "header"},
		{`{"header":"a: b"}`, "header"},
		{`{"bars":[0.1]}`, "bars"},
		{`{"bars":[0.1,0.2]}`, "LowThreshold"},
		{`{"bars":[0.001,0.001]}`, "HighThreshold"},
		{`{"window_s":0}`, "Window"},
		{`{"window_s":3}`, "ReportTTL"},
		{`{"hold_s":-1}`, "hold_s"},
		{`{"cool_s":1e99}`, "cool_s"},
	} {
		c, err := load(t, withHitters(configText("127.0.0.1:9", "", testSettings), test.how))
		switch {
		case test.wrong == "" && (err != nil || c.Hitters == nil || c.Settings.Hitters == nil):
			t.Errorf("%s: %v", test.how, err)
		case test.wrong != "" && (err == nil || !strings.Contains(err.Error(), "hitters: ") || !strings.Contains(err.Error(), test.wrong)):
			t.Errorf("%s: %v, want one that names %s", test.how, err, test.wrong)
		}
	}
	if c, err := load(t, configText("127.0.0.1:9", "", testSettings)); err != nil || c.Hitters != nil || c.Settings.Hitters != nil {
		t.Errorf("enabled without being configured: %v", err)
	}
}

// startMember starts a member that is not a sidecar, until the test ends.
func startMember(t *testing.T, options members.Options) *members.Members {
	t.Helper()
	member, err := members.New(options)
	if err == nil {
		err = member.Start(context.WithoutCancel(t.Context()))
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(member.Close)
	return member
}

// fleetConfig returns the configuration of a sidecar that detects heavy clients together with others.
func fleetConfig(t *testing.T, b *backend, name, join string) *Config {
	t.Helper()
	text := withHitters(configText(startRegistry(t).address, serving(1, b), testSettings), `{"window_s":0.2,"hold_s":0.2}`)
	text = strings.Replace(text, `"settings":`, fmt.Sprintf(`"members":{"listen":"127.0.0.1:0","join":[%s]},"settings":`, join), 1)
	config, err := load(t, text, "PROXY_NAME="+name, "PROXY_CONTROL="+freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// TestHeavyOverTheFleet floods two of three sidecars from one client, with a third of the requests of each. The third
// sidecar, which that client never calls, learns from their reports that it is heavy, and forgets it when both are
// gone. A fourth member that sends a false report about another client, and malformed ones, has no effect.
func TestHeavyOverTheFleet(t *testing.T) {
	b := startBackend(t, respondWith(200, "", "ok"))
	config := func(name, join string) *Config { return fleetConfig(t, b, name, join) }
	times := drainTimes{quietTime: time.Millisecond, finish: testTimeout}
	var first logText
	loud := []*program{startLogging(t, config("n1", ""), &first, times)}
	at := ""
	eventually(t, "listening", func() bool {
		_, after, there := strings.Cut(first.String(), "listening=")
		at, _, _ = strings.Cut(after, " ")
		return there
	})
	loud = append(loud, startLogging(t, config("n2", strconv.Quote(at)), io.Discard, times))
	observing := config("n3", strconv.Quote(at))
	third := startLogging(t, observing, io.Discard, times)
	falseReporter := startMember(t, members.Options{Name: "n4", Listen: "127.0.0.1:0", Join: []string{at}})
	victim := hitters.Key(hitters.Key(0, ""), "victim")
	falseReport := hitters.Report{Total: 1 << 44, Requests: 1 << 31, Named: 1}
	falseReport.Keys[0], falseReport.Shares[0] = victim, 1<<16-1
	asked := 0
	ask := func(p *program, name string) {
		asked++
		if err := falseReporter.Publish(kindHitters, [][]byte{falseReport.Append(nil), []byte("nonsense")}[asked%2]); err != nil {
			t.Fatal(err)
		}
		r := p.request(context.Background(), "read", "50000")
		if r.Header.Set("X-Tenant-Id", name); p.do(r).status != 200 {
			t.Fatal("not served")
		}
	}
	key := fmt.Sprintf("svc.heavy_clients.%016x:", hitters.Key(hitters.Key(0, ""), "loud"))
	eventually(t, "held for heavy", func() bool {
		for range 10 {
			asked++
			ask(third, fmt.Sprintf("still-%d", asked))
			for _, p := range loud {
				ask(p, "loud")
				ask(p, fmt.Sprintf("calm-%d", asked))
				ask(p, fmt.Sprintf("quiet-%d", asked))
			}
		}
		ask(third, "victim")
		text := dialControl(t, observing.Control, "INFO\n")
		if strings.Contains(text, fmt.Sprintf("%016x", victim)) {
			t.Fatalf("a client that only the false report names counts as heavy:\n%s", text)
		}
		return strings.Contains(text, "svc.members:4|g\n") && strings.Contains(text, "svc.heavy_clients:1|g\n"+key)
	})
	for _, p := range loud {
		p.stop()
	}
	eventually(t, "let go", func() bool {
		asked++
		ask(third, fmt.Sprintf("still-%d", asked))
		return strings.Contains(dialControl(t, observing.Control, "INFO\n"), "svc.heavy_clients:0|g\n")
	})
}

// eventually waits until done returns true.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s within %v", what, testTimeout)
		}
	}
}
