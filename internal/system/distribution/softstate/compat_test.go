package softstate

import "testing"

// TestKeyBytes: the keys of entries are part of the wire format between processes of several versions.
func TestKeyBytes(t *testing.T) {
	if ServerPrefix != "server/" || MemberPrefix != "member/" || ListKey != "list" {
		t.Errorf("got keys %q, %q and %q", ServerPrefix, MemberPrefix, ListKey)
	}
}
