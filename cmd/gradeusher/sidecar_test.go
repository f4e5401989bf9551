package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// sidecarProcess has the files and addresses at which processes of the real sidecar run, one after the other.
type sidecarProcess struct {
	t                            *testing.T
	tmp, listen, control, config string
	requests                     int
	lastOutcome                  string // what became of the last request
}

// newSidecarProcess writes a configuration with these fields besides the usual ones.
func newSidecarProcess(t *testing.T, fields map[string]any) *sidecarProcess {
	t.Helper()
	proxy := &sidecarProcess{t: t, tmp: t.TempDir(), listen: reserveAddress(t), control: reserveAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
	all := map[string]any{"name": "n0", "listen": proxy.listen, "control": proxy.control, "seed": "8c1f30d27a5be964", "settings": json.RawMessage(
		`{"ordinal":0,"peers_total":1,"my_zone":"a","areas":["a"],"models":["m"],"tiers":["rec-api"],"tier":0,"discovery":"pushed","limits":{"try_limit":3},
		"request_classes":[{"name":"read","effect":"idempotent","aim_s":0.5,"deadline_s":2}]}`)}
	for key, v := range fields {
		all[key] = v
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(proxy.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return proxy
}

func (s *sidecarProcess) start() *command {
	c := newCommand(s.t, "sidecar")
	c.Env = append(c.Env, "PROXY_CONFIG="+s.config, "TMPDIR="+s.tmp)
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()
		if s.t.Failed() {
			s.t.Logf("the sidecar's log: %s", &c.err)
		}
	})
	return c
}

// ready reports whether the sidecar says that it is: the application sends requests from then on (PROTOCOL).
func (s *sidecarProcess) ready() bool {
	resp, err := http.DefaultClient.Do(s.newRequest("/healthz"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it was not read
	return resp.StatusCode == http.StatusOK
}

func (s *sidecarProcess) newRequest(path string) *http.Request {
	s.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.listen+path, http.NoBody)
	if err != nil {
		s.t.Fatal(err)
	}
	return req
}

// checkServed fails the test where the server does not answer a request.
func (s *sidecarProcess) checkServed(failure string) {
	s.t.Helper()
	if s.request() != fmt.Sprintf("done %016x", s.requests) {
		s.t.Errorf("%s: %s", failure, s.lastOutcome)
	}
}

// request sends a request and returns what a server answered; "": none did, and lastOutcome says why.
func (s *sidecarProcess) request() string {
	s.requests++
	req := s.newRequest("/api")
	for key, v := range map[string]string{"X-Request-ID": fmt.Sprintf("%016x", s.requests), "X-Priority-Class": "read", "X-Timeout-Ms": "2000"} {
		req.Header.Set(key, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.lastOutcome = err.Error()
		return ""
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	body, err := io.ReadAll(resp.Body)
	s.lastOutcome = fmt.Sprintf("%s %q %v", resp.Status, body, err)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// figure returns a figure of the sidecar's own; -1: it reports none of this name.
func (s *sidecarProcess) figure(name string) int64 {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", s.control)
	if err != nil {
		return -1
	}
	defer func() { _ = conn.Close() }() // it was read to its end
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintln(conn, "INFO") // without it no answer comes
	text, err := io.ReadAll(conn)
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(text)) {
		var v int64
		if rest, ok := strings.CutPrefix(line, "svc."+name+":"); ok {
			if _, err := fmt.Sscanf(rest, "%d", &v); err == nil {
				return v
			}
		}
	}
	return -1
}
