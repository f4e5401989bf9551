package loadreport

import (
	"encoding/hex"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestLoadBytes: proxies and control-plane nodes of several versions read each other's load vectors during an upgrade.
func TestLoadBytes(t *testing.T) {
	v := NewVector(true)
	v.Publish(time.Now(), map[string]pick.Load{"s-1": {Requests: 300, Prefill: 128, Tokens: 1000}})
	v.Publish(time.Now(), map[string]pick.Load{"s-1": {Requests: 300, Prefill: 128, Tokens: 1000}, "s-2": {Requests: 2}})
	v.Publish(time.Now(), map[string]pick.Load{"s-1": {Requests: 301, Prefill: 64}, "s-2": {Requests: 2}})
	for from, want := range map[uint64]string{0: "0103732d31ad0201000103732d32020000", 2: "00ad020100"} {
		if got := hex.EncodeToString(v.encode(from)); got != want {
			t.Errorf("after %d: %s, want %s", from, got, want)
		}
	}
}
