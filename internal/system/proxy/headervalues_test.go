package proxy

import (
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

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
		if got := parsePromptParts(text); len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
	if n := len(parsePromptParts(strings.Repeat("1:1,", 1000))); n != maxPromptParts {
		t.Errorf("%d parts", n)
	}
}

func TestServerHints(t *testing.T) {
	header := http.Header{"X-Server-Load": {"3, 1,8"}, "X-Cold-Ms": {"1500"}, "Retry-After": {"0.35"}, "Keep-Alive": {"max=4, timeout=7"}}
	if got, want := parseServerHints(header, true), (serverHints{true, 3, 1, 8, true, 1500 * time.Millisecond, true, 7 * time.Second}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := parseServerHints(http.Header{"X-Server-Load": {"3,1"}, "X-Cold-Ms": {"-1"}}, false); got != (serverHints{}) {
		t.Errorf("%+v", got)
	}
	if d := parseRetryAfter(header.Get("Retry-After")); d != 350*time.Millisecond {
		t.Error(d)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e9", "soon"} {
		if d := parseRetryAfter(text); d != 0 {
			t.Errorf("%q: %v", text, d)
		}
	}
	if d := parseKeepAlive(header); d != 7*time.Second {
		t.Error(d)
	}
}
