package main

import (
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

// sidecarProcess is where processes of the real sidecar run, one after the other.
type sidecarProcess struct {
	t                            *testing.T
	tmp, listen, control, config string
	requests                     int
	lastOutcome                  string // what became of the last request
}

// newSidecarProcess has a configuration with these fields besides the usual.
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
		_ = c.Process.Kill() // mostly it has ended
		_ = c.Wait()
		if s.t.Failed() {
			s.t.Logf("the sidecar's log: %s", &c.err)
		}
	})
	return c
}

// ready tells whether it says so: the application sends from then on (PROTOCOL).
func (s *sidecarProcess) ready() bool {
	resp, err := http.Get("http://" + s.listen + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request sends a request and returns what a server answered; "": none did.
func (s *sidecarProcess) request() string {
	s.requests++
	req, err := http.NewRequest(http.MethodGet, "http://"+s.listen+"/api", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for key, v := range map[string]string{"X-Request-ID": fmt.Sprintf("%016x", s.requests), "X-Priority-Class": "read", "X-Timeout-Ms": "2000"} {
		req.Header.Set(key, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.lastOutcome = err.Error()
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.lastOutcome = fmt.Sprintf("%s %q %v", resp.Status, body, err)
	if err != nil || resp.StatusCode != 200 {
		return ""
	}
	return string(body)
}

// figure is a figure of the sidecar's own; -1: it says none of this name.
func (s *sidecarProcess) figure(name string) int64 {
	conn, err := net.Dial("tcp", s.control)
	if err != nil {
		return -1
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(conn, "INFO")
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
