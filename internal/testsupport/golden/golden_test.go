package golden

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"
)

// TestDigestBytes holds the encoding of each kind of value, on which all recorded digests rest.
func TestDigestBytes(t *testing.T) {
	word := func(last byte) string { return strings.Repeat("\x00", 7) + string([]byte{last}) }
	digest := NewDigest()
	digest.Step('a', 1)
	digest.TextStep("bc", 2)
	digest.Ints(-1)
	digest.Floats(1)
	digest.Bools(true, false)
	digest.Bytes([]byte("d"))
	if _, err := digest.Write([]byte("e")); err != nil {
		t.Fatal(err)
	}
	want := sha256.Sum256([]byte("a" + word(1) + word(2) + "bc" + word(2) + strings.Repeat("\xff", 8) + "\x3f\xf0" + strings.Repeat("\x00", 6) +
		word(1) + word(0) + word(1) + "d" + "e"))
	if got := digest.line("name", 7); got != "name 7 2 "+hex.EncodeToString(want[:]) {
		t.Errorf("%q", got)
	}
}

func TestFirstDifference(t *testing.T) {
	recorded := []string{"a 1", "b 2"}
	if err := firstDifference(recorded, []string{"a 1", "b 2"}); err != nil {
		t.Error(err)
	}
	for _, lines := range [][]string{nil, {"a 1"}, {"a 1", "b 3"}, {"b 2", "a 1"}, {"a 1", "b 2", "c 3"}} {
		if firstDifference(recorded, lines) == nil {
			t.Errorf("no difference is found to %q", lines)
		}
	}
}
