package proxy

import (
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestPromptParts covers the parsing of X-Prompt-Prefix.
func TestPromptParts(t *testing.T) {
	for text, want := range map[string][]pick.PrefixPart{
		"":                  nil,
		"5c1e07a2:800":      {{ID: 0x5c1e07a2, Tokens: 800}},
		"ff:6, 1a:4":        {{ID: 0xff, Tokens: 6}, {ID: 0x1a, Tokens: 4}},
		"ff:6,zz:4,1a:4":    {{ID: 0xff, Tokens: 6}},
		"ff:6,1a":           {{ID: 0xff, Tokens: 6}},
		"ffffffffffffffff:": {{ID: 1<<64 - 1}},
		"1:-5":              {{ID: 1}},
	} {
		t.Run(text, func(t *testing.T) {
			if got := parsePromptParts(text); len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
	if n := len(parsePromptParts(strings.Repeat("1:1,", 1000))); n != maxPromptParts {
		t.Errorf("parsed %d prompt parts", n)
	}
}

// TestServerHints covers the parsing of the hints about a server in its response, and of Retry-After.
func TestServerHints(t *testing.T) {
	header := http.Header{"X-Server-Load": {"3, 1,8"}, "X-Cold-Ms": {"1500"}, "Retry-After": {"0.35"}, "Keep-Alive": {"max=4, timeout=7"}}
	if got, want := parseServerHints(header, true), (serverHints{hasLoad: true, running: 3, waiting: 1, slots: 8,
		warmingUp: true, warmUpLeft: 1500 * time.Millisecond, draining: true, idleTimeout: 7 * time.Second}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := parseServerHints(http.Header{"X-Server-Load": {"3,1"}, "X-Cold-Ms": {"-1"}}, false); got != (serverHints{}) {
		t.Errorf("%+v", got)
	}
	if d := parseRetryAfter(header.Get("Retry-After")); d != 350*time.Millisecond {
		t.Error(d)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e9", "soon"} {
		t.Run("Retry-After "+text, func(t *testing.T) {
			if d := parseRetryAfter(text); d != 0 {
				t.Error(d)
			}
		})
	}
	if d := parseKeepAlive(header); d != 7*time.Second {
		t.Error(d)
	}
}
