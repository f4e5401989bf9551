package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"gradeusher.example/gradeusher/internal/system/config"
)

// Why a request is not let in. None of them names a key.
var (
	errUnknownKey = errors.New("X-Credential does not hold one known API key: send one that the configuration has")
	// errKeysUnverified: a configuration that this proxy has not received may hold the key, or hold it no longer.
	errKeysUnverified = errors.New("this proxy cannot tell which API keys hold, as it has no contact to the control plane: ask another")
	errTenantChanged  = errors.New("the API key went to another tenant while the request waited: send the request again")
)

// identity is whose request it is. The key is never logged, counted, answered with or sent to a server.
type identity struct {
	needsKey bool           // only tenants may send the request, by the configuration that its route is from
	key      string         // what X-Credential holds; empty: it is absent, empty or there more than once
	tenant   *config.Tenant // that holds the key by config; nil: none does
	config   *config.Config // by which the tenant was found
}

// soleCredential returns the value of X-Credential; empty unless the header is there exactly once.
func soleCredential(header http.Header) string {
	values := header[headerCredential]
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// isIdentityHeader reports whether a header tells servers who sent a request, or proves it, in any spelling that a server may take for
// it: some frameworks do not distinguish underscores from hyphens.
func isIdentityHeader(name string) bool {
	switch http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-")) {
	case headerTenant, headerCredential:
		return true
	}
	return false
}

// authenticate finds the tenant that sent the request, and checks the key where one is needed. It fails with errUnknownKey or
// errKeysUnverified. After a stall of the process it waits for an update first, where the key is not known to hold.
func (c *clientRequest) authenticate(ctx context.Context) error {
	c.identity.needsKey = c.identity.config.HasTenants && !c.route.Public
	c.identity.key = soleCredential(c.request.Header)
	c.identity.tenant = c.findTenant()
	if c.verifyKey() == nil {
		return nil
	}
	c.proxy.picker.awaitContact(ctx)
	c.updateTenant()
	return c.verifyKey()
}

// updateTenant looks the key up again where a newer configuration has come.
func (c *clientRequest) updateTenant() {
	if newest := c.proxy.picker.Config(); newest != c.identity.config {
		c.identity.config = newest
		c.identity.tenant = c.findTenant()
	}
}

// findTenant returns the tenant that holds the key; nil: none does. One whose name cannot be the value of a header counts as none.
func (c *clientRequest) findTenant() *config.Tenant {
	if c.identity.key == "" {
		return nil
	}
	holder := c.identity.config.TenantOfKey(c.identity.key)
	if holder != nil && !isFieldValue(holder.Name) && !c.proxy.options.knobs.AcceptAnyTenantName {
		return nil
	}
	return holder
}

// isFieldValue reports whether a text can be the value of a header (RFC 9110, section 5.5). A name that cannot would end its field early,
// and what follows would be another field.
func isFieldValue(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return text != "" && !strings.ContainsFunc(text, isControl)
}

// verifyKey checks the key that was looked up last. It fails with errUnknownKey or errKeysUnverified, the latter wherever a newer
// configuration than this proxy's may say otherwise.
func (c *clientRequest) verifyKey() error {
	knobs := &c.proxy.options.knobs
	switch {
	case !c.identity.needsKey || !c.identity.config.HasTenants:
		return nil
	case c.proxy.missesRevocations():
		return errKeysUnverified
	case c.identity.tenant != nil:
		return nil
	case c.proxy.isStale() && !knobs.DenyWhileStale:
		return errKeysUnverified
	}
	return errUnknownKey
}

// isStale reports whether a newer configuration than this proxy's may be in force unseen.
func (p *Proxy) isStale() bool {
	state := p.clusterState.Load()
	return state == nil || state.Stale
}

// reverifyKey checks before an attempt that the key still holds, and for the same tenant, whose quota the request was counted in. It
// fails with errUnknownKey, errKeysUnverified or errTenantChanged. A stream that has begun goes on.
func (c *clientRequest) reverifyKey() error {
	if c.headSent || c.proxy.options.knobs.SkipKeyReverification {
		return nil
	}
	before := c.identity // stays where the check fails: an attempt that is under way may end in a stream, which goes on
	c.updateTenant()
	if err := c.verifyKey(); err != nil {
		c.identity = before
		return err
	}
	if c.identity.tenant == before.tenant {
		return nil
	}
	if before.tenant == nil || c.identity.tenant == nil || before.tenant.Name != c.identity.tenant.Name {
		c.identity = before
		return errTenantChanged
	}
	c.pickRequest.Tenant = c.identity.tenant // its priority and homes may have changed
	return nil
}

// authenticateChallenge is what a 401 says of the credentials that are accepted (RFC 9110, section 11.6.1).
const authenticateChallenge = `ApiKey realm="gradeusher"`

// rejectUnauthenticated answers a request that goes to no server because of its key.
func (c *clientRequest) rejectUnauthenticated(err error) {
	counters := &c.proxy.counters
	if errors.Is(err, errUnknownKey) {
		counters.Rejected.Add(1)
		counters.Unauthorized.Add(1)
		c.writer.Header().Set("Www-Authenticate", authenticateChallenge)
		c.respondError(http.StatusUnauthorized, 0)
		return
	}
	if errors.Is(err, errKeysUnverified) {
		counters.KeysUnverified.Add(1)
	}
	counters.Refused.Add(1)
	c.respondError(http.StatusServiceUnavailable, 0)
}
