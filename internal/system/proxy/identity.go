package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"gradeusher.example/gradeusher/internal/system/config"
)

// Reasons why a request is not accepted. No message contains a key.
var (
	errUnknownKey = errors.New("X-Credential does not contain exactly one known API key; send a key that is in the configuration")
	// errKeysUnverified: a configuration that this proxy has not received may have added or removed the key.
	errKeysUnverified = errors.New("this proxy cannot verify API keys because it has no contact to the control plane; use another proxy")
	errTenantChanged  = errors.New("the API key was assigned to another tenant while the request was waiting; send the request again")
)

// identity describes who sent a request. The key is never written to logs, metrics or responses, nor sent to a server.
type identity struct {
	needsKey bool           // only tenants may send the request, according to the configuration that its route is from
	key      string         // the value of X-Credential; empty if the header is absent, empty or repeated
	tenant   *config.Tenant // the tenant that holds the key according to config; nil: none does
	config   *config.Config // the configuration in which the tenant was looked up
}

// soleCredential returns the value of X-Credential, or "" unless the header is present exactly once.
func soleCredential(header http.Header) string {
	values := header[headerCredential]
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// isIdentityHeader reports whether a header identifies or authenticates the sender of a request, in any spelling that a server may
// accept: some frameworks do not distinguish underscores from hyphens.
func isIdentityHeader(name string) bool {
	switch http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-")) {
	case headerTenant, headerCredential:
		return true
	}
	return false
}

// authenticate finds the tenant that sent the request, and verifies the key if one is needed. It fails with errUnknownKey or
// errKeysUnverified. If the verification fails, it first waits for an update that is awaited after a stall of the process, and then
// verifies the key again.
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

// updateTenant looks the key up again if a newer configuration has been received.
func (c *clientRequest) updateTenant() {
	if newest := c.proxy.picker.Config(); newest != c.identity.config {
		c.identity.config = newest
		c.identity.tenant = c.findTenant()
	}
}

// findTenant returns the tenant that holds the key, or nil if there is none. A tenant whose name cannot be a header value is ignored.
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

// isFieldValue reports whether a text is a valid header value (RFC 9110, section 5.5). A tenant name that is not could end its header
// field early, and the rest of the name would become another field.
func isFieldValue(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return text != "" && !strings.ContainsFunc(text, isControl)
}

// verifyKey verifies the key that was looked up last. It fails with errUnknownKey, or with errKeysUnverified if a configuration newer
// than this proxy's may lead to another result.
func (c *clientRequest) verifyKey() error {
	knobs := &c.proxy.options.knobs
	switch {
	case !c.identity.needsKey || !c.identity.config.HasTenants:
		return nil
	case c.proxy.mayMissRevocations():
		return errKeysUnverified
	case c.identity.tenant != nil:
		return nil
	case c.proxy.isStale() && !knobs.DenyWhileStale:
		return errKeysUnverified
	}
	return errUnknownKey
}

// isStale reports whether a newer configuration, which this proxy has not received, may be in force.
func (p *Proxy) isStale() bool {
	state := p.clusterState.Load()
	return state == nil || state.Stale
}

// reverifyKey checks before an attempt that the key is still valid and still belongs to the tenant whose quota the request was counted
// against. It fails with errUnknownKey, errKeysUnverified or errTenantChanged. A stream that has begun is not interrupted.
func (c *clientRequest) reverifyKey() error {
	if c.headSent || c.proxy.options.knobs.SkipKeyReverification {
		return nil
	}
	before := c.identity // restored if the check fails: an attempt in flight may still become a stream, which is not interrupted
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

// authenticateChallenge is the WWW-Authenticate value of a 401: it describes the accepted credentials (RFC 9110, section 11.6.1).
const authenticateChallenge = `ApiKey realm="gradeusher"`

// rejectUnauthenticated answers a request that is not sent to any server because of its key.
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
