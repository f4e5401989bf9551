package members

import (
	"encoding/hex"
	"testing"
	"time"
)

// TestFrameBytes: sidecars of several versions read each other's frames during an upgrade.
func TestFrameBytes(t *testing.T) {
	update := frame{name: "n7", kind: 3, start: 0x0102030405060708, seq: 300, publishedAt: 1500 * time.Microsecond, forwardedAge: 1234 * time.Millisecond,
		payload: []byte("news")}
	ownClaim := claim{count: 5, hash: 0x0a0b0c0d}
	for name, v := range map[string]struct {
		got  []byte
		want string
	}{"news": {update.encode(), "0103000004d20102030405060708ac02dc0b026e3700046e657773"}, "claim": {ownClaim.encode(), "02000000050a0b0c0d"}, "pack": {packed(ownClaim.encode(), []byte("x")), "000902000000050a0b0c0d000178"}} {
		if got := hex.EncodeToString(v.got); got != v.want {
			t.Errorf("%s: %s, want %s", name, got, v.want)
		}
	}
	got, err := decodeUpdate(update.encode())
	if err != nil || got.name != update.name || got.kind != update.kind || got.start != update.start || got.seq != update.seq || got.publishedAt != update.publishedAt ||
		got.forwardedAge != update.forwardedAge || string(got.payload) != "news" {
		t.Errorf("%+v %v", got, err)
	}
}
