package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// twoTenants are tenants in the operator's format: the first one has two keys and its own priority.
const twoTenants = `[{"name":"acme","api_keys":["key-a","key-b"],"priority":1},{"name":"zenith","api_keys":["key-z"]}]`

// replaceTenants replaces the tenants of a configuration by those in the operator's JSON.
func replaceTenants(t testing.TB, c *config.Config, tenants string) {
	t.Helper()
	parsed, err := config.Parse([]byte(`{"revision":1,"routes":[],"services":[],"tenants":` + tenants + `}`))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Revision, parsed.Routes, parsed.Services, parsed.Limits = c.Revision, c.Routes, c.Services, c.Limits
	*c = *parsed
}

// withTenants adds tenants to the configuration of a test proxy.
func withTenants(t testing.TB, tenants string) configure {
	return func(_ *Options, c *config.Config) { replaceTenants(t, c, tenants) }
}

// withPublicRoute makes the route public, so that requests need no key.
func withPublicRoute(_ *Options, c *config.Config) { c.Routes[0].Public = true }

// withKnobs disables protections.
func withKnobs(knobs TestingKnobs) configure {
	return func(o *Options, _ *config.Config) { o.knobs = knobs }
}

// valuesOf returns the values of all headers that a server may treat as the given one, spelled with hyphens or underscores.
func valuesOf(header http.Header, name string) (values []string) {
	for other, those := range header {
		if strings.EqualFold(strings.ReplaceAll(other, "_", "-"), name) {
			values = append(values, those...)
		}
	}
	return values
}

// credentialSpellings are different ways in which clients may send a key, and further headers sent with it.
var credentialSpellings = map[string][]string{
	"plain":               {"X-Credential: key-a"},
	"lower case":          {"x-credential: key-a"},
	"named by Connection": {"X-Credential: key-a", "Connection: X-Credential"},
	"also underscored":    {"X-Credential: key-a", "X_Credential: key-a"},
	"odd spaces":          {"X-Credential: \t key-a \t"},
}

// TestServerNeverSeesCredential checks that no server receives a key that clients send in different spellings, on tenants' and public
// routes, and also before a configuration with tenants has been received.
func TestServerNeverSeesCredential(t *testing.T) {
	for name, changes := range map[string][]configure{
		"tenants": {withTenants(t, twoTenants)}, "public route": {withTenants(t, twoTenants), withPublicRoute}, "no tenants": nil,
	} {
		for spelling, headers := range credentialSpellings {
			t.Run(name+"/"+spelling, func(t *testing.T) {
				if seen := credentialAtServer(t, headers, changes...); seen != "" {
					t.Errorf("the server received the credential %q", seen)
				}
			})
		}
	}
	t.Run("control", func(t *testing.T) {
		knobs := withKnobs(TestingKnobs{ForwardIdentity: true})
		if credentialAtServer(t, credentialSpellings["plain"], withTenants(t, twoTenants), knobs) == "" {
			t.Error("without the protection no server received the key either")
		}
	})
}

// credentialAtServer sends a request that is served, and returns the credentials that its server received.
func credentialAtServer(t *testing.T, headers []string, changes ...configure) string {
	t.Helper()
	server := startServer(t, respondWith(200, "x"))
	proxy := startProxy(t, []*fakeServer{server}, changes...)
	if got := proxy.roundTrip(t, "id-1", "body", headers...); got.StatusCode != http.StatusOK {
		t.Errorf("status %d", got.StatusCode)
	}
	var seen strings.Builder
	for name, values := range receive(t, server.requests, "request").Header {
		text := name + ": " + strings.Join(values, ",")
		if strings.Contains(text, "key-a") || strings.EqualFold(strings.ReplaceAll(name, "_", "-"), headerCredential) {
			seen.WriteString(text)
		}
	}
	return seen.String()
}

// TestTenantIsThatOfTheKey checks that servers receive the tenant of the key, even if the client claims to be another tenant or claims
// to be a tenant without sending a key.
func TestTenantIsThatOfTheKey(t *testing.T) {
	tenants := withTenants(t, twoTenants)
	for _, test := range []struct {
		name    string
		changes []configure
		headers []string
		want    string
	}{
		{"first key", []configure{tenants}, []string{"X-Credential: key-a"}, "[acme]"},
		{"second key", []configure{tenants}, []string{"X-Credential: key-b"}, "[acme]"},
		{"claims another", []configure{tenants}, []string{"X-Credential: key-a", "X-Tenant: zenith"}, "[acme]"},
		{"claims another twice", []configure{tenants}, []string{"x-tenant: zenith", "X-Credential: key-a", "X-TENANT: acme"}, "[acme]"},
		{"claims another, underscored", []configure{tenants}, []string{"X-Credential: key-a", "X_Tenant: zenith"}, "[acme]"},
		{"named by Connection", []configure{tenants}, []string{"X-Credential: key-z", "Connection: X-Tenant", "X-Tenant: acme"}, "[zenith]"},
		{"public route", []configure{tenants, withPublicRoute}, []string{"X-Credential: key-z", "X-Tenant: acme"}, "[zenith]"},
		{"public route without a key", []configure{tenants, withPublicRoute}, []string{"X-Tenant: acme"}, "[]"},
		{"public route with an unknown key", []configure{tenants, withPublicRoute}, []string{"X-Credential: k", "X-Tenant: acme"}, "[]"},
		{"public route with two keys", []configure{tenants, withPublicRoute}, []string{"X-Credential: key-a", "X-Credential: key-z"}, "[]"},
		{"no tenants", nil, []string{"X-Credential: key-a", "X-Tenant: acme"}, "[]"},
		{"control", []configure{tenants, withKnobs(TestingKnobs{ForwardIdentity: true})}, []string{"X-Credential: key-a", "X-Tenant: zenith"},
			"[zenith acme]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := startServer(t, respondWith(200, "x"))
			proxy := startProxy(t, []*fakeServer{server}, test.changes...)
			if got := proxy.roundTrip(t, "id-1", "body", test.headers...); got.StatusCode != http.StatusOK {
				t.Errorf("status %d", got.StatusCode)
			}
			if got := fmt.Sprint(valuesOf(receive(t, server.requests, "request").Header, headerTenant)); got != test.want {
				t.Errorf("the server got the tenant %s, want %s", got, test.want)
			}
		})
	}
}

// TestTenantPriorityGoesFirst checks that the tenant's priority takes precedence over the route's.
func TestTenantPriorityGoesFirst(t *testing.T) {
	for key, want := range map[string]string{"key-a": "1", "key-z": "3"} {
		server := startServer(t, respondWith(200, "x"))
		proxy := startProxy(t, []*fakeServer{server}, withTenants(t, twoTenants))
		_ = proxy.roundTrip(t, "id-1", "", "X-Credential: "+key)
		if got := receive(t, server.requests, "request").Header.Get(headerPriority); got != want {
			t.Errorf("priority %s with %s, want %s", got, key, want)
		}
	}
}

// unknownKeys are headers that do not contain exactly one known key.
var unknownKeys = map[string][]string{
	"none": nil, "empty": {"X-Credential:"}, "unknown": {"X-Credential: key-x"}, "a part of one": {"X-Credential: key-"},
	"more than the key": {"X-Credential: Bearer key-a"}, "a list": {"X-Credential: key-a, key-b"},
	"two": {"X-Credential: key-a", "X-Credential: key-b"}, "twice the same": {"X-Credential: key-a", "X-Credential: key-a"},
	"in another header": {"Authorization: key-a"}, "underscored": {"X_Credential: key-a"}, "only a claim": {"X-Tenant: acme"},
}

// TestUnknownKeyIsUnauthorized checks that a proxy with the newest configuration answers requests without exactly one known key with 401.
func TestUnknownKeyIsUnauthorized(t *testing.T) {
	server := startServer(t, respondWith(200, "x"))
	proxy := startProxy(t, []*fakeServer{server}, withTenants(t, twoTenants))
	for name, headers := range unknownKeys {
		t.Run(name, func(t *testing.T) {
			got := proxy.roundTrip(t, "id-1", "body", headers...)
			if got.StatusCode != http.StatusUnauthorized || got.Header.Get("Www-Authenticate") == "" || len(server.requests) > 0 {
				t.Errorf("status %d, %v; %d requests at the server", got.StatusCode, got.Header, len(server.requests))
			}
		})
	}
	if n := proxy.counters.Unauthorized.Load(); n != int64(len(unknownKeys)) {
		t.Errorf("unauthorized requests counted: %d, want %d", n, len(unknownKeys))
	}
}

// TestTenantNameSmugglesNothing checks that a tenant name that contains a line end cannot inject header fields.
func TestTenantNameSmugglesNothing(t *testing.T) {
	for _, name := range []string{`a\r\nX-Extra: 1`, `a\nX-Extra: 1`, `a\rb`, `a\u0000b`, `a\u007f`} {
		for _, public := range []bool{false, true} {
			server := startServer(t, respondWith(200, "x"))
			proxy := startProxy(t, []*fakeServer{server}, withTenants(t, `[{"name":"`+name+`","api_keys":["key-a"]}]`),
				func(_ *Options, c *config.Config) { c.Routes[0].Public = public })
			_ = proxy.roundTrip(t, "id-1", "", "X-Credential: key-a")
			if public != (len(server.requests) == 1) {
				t.Errorf("%s, public %v: %d requests at the server", name, public, len(server.requests))
			}
			if len(server.requests) == 1 {
				if header := (<-server.requests).Header; header["X-Tenant"] != nil || header["X-Extra"] != nil {
					t.Errorf("%s: the server got %v", name, header)
				}
			}
		}
	}
	server := startServer(t, respondWith(200, "x"))
	proxy := startProxy(t, []*fakeServer{server}, withTenants(t, `[{"name":"a\r\nX-Extra: 1","api_keys":["key-a"]}]`),
		withKnobs(TestingKnobs{AcceptAnyTenantName: true}))
	_ = proxy.roundTrip(t, "id-1", "", "X-Credential: key-a")
	if receive(t, server.requests, "request").Header["X-Extra"] == nil {
		t.Error("without the protection the tenant name injected no header field either")
	}
}

// TestNoConfigurationIsNever401 checks that a proxy without a configuration does not answer 401.
func TestNoConfigurationIsNever401(t *testing.T) {
	proxy := startProxy(t, nil, withTenants(t, twoTenants))
	proxy.UpdateClusterState(time.Now(), pick.ClusterState{})
	if got := proxy.roundTrip(t, "id-1", "", "X-Credential: key-x"); got.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", got.StatusCode)
	}
}

// TestUnknownRouteComesBeforeKey checks the status of a request that has neither a key nor a matching route.
func TestUnknownRouteComesBeforeKey(t *testing.T) {
	proxy := startProxy(t, nil, withTenants(t, twoTenants))
	client := proxy.dial(t)
	_, _ = fmt.Fprint(client, "GET /b/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\n\r\n")
	if got := client.readResponse(); got.StatusCode != http.StatusNotFound {
		t.Errorf("status %d", got.StatusCode)
	}
}

// TestUnknownKeyAtStaleProxy sends a key that a newer configuration may contain to a proxy without contact to the control plane: only
// a proxy with a current configuration rejects it as unknown.
func TestUnknownKeyAtStaleProxy(t *testing.T) {
	for _, test := range []struct {
		name    string
		knobs   TestingKnobs
		stale   bool
		headers []string
		want    int
	}{
		{"unknown, stale", TestingKnobs{}, true, []string{"X-Credential: key-x"}, 503},
		{"none, stale", TestingKnobs{}, true, nil, 503},
		{"known, stale", TestingKnobs{}, true, []string{"X-Credential: key-a"}, 200},
		{"unknown, current", TestingKnobs{}, false, []string{"X-Credential: key-x"}, 401},
		{"control", TestingKnobs{DenyWhileStale: true}, true, []string{"X-Credential: key-x"}, 401},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy := startProxy(t, []*fakeServer{startServer(t, respondWith(200, "x"))}, withTenants(t, twoTenants), withKnobs(test.knobs))
			state := *proxy.clusterState.Load()
			state.Stale = test.stale
			proxy.UpdateClusterState(time.Now(), state)
			got := proxy.roundTrip(t, "id-1", "body", test.headers...)
			if got.StatusCode != test.want || (got.Header.Get("Retry-After") != "") != (test.want == 503) {
				t.Errorf("status %d, %v, want %d", got.StatusCode, got.Header, test.want)
			}
		})
	}
}

// TestKeyAddedDuringStall adds a key while the process is stopped: a request with this key that was waiting in the socket is served
// once the configuration has been received.
func TestKeyAddedDuringStall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		proxy := newPipedProxy([]configure{withTenants(t, twoTenants)}, respondWith(200, "x"))
		proxy.fake.awaitsState, proxy.picker.stalls.enabled = true, true
		stall(proxy.picker)
		time.AfterFunc(20*time.Millisecond, func() { setTenants(t, proxy, `[{"name":"acme","api_keys":["key-new"]}]`) })
		w, took := proxy.roundTrip(t.Context(), headerCredential, "key-new")
		if w.Code != http.StatusOK || took != 20*time.Millisecond {
			t.Errorf("status %d after %v", w.Code, took)
		}
	})
}

// setTenants updates a running proxy with a configuration that has other tenants.
func setTenants(t *testing.T, proxy *pipedProxy, tenants string) {
	state := *proxy.clusterState.Load()
	changed := *state.Config
	replaceTenants(t, &changed, tenants)
	state.Config = &changed
	proxy.UpdateClusterState(time.Now(), state)
}

// TestKeyIsVerifiedBeforeEachAttempt changes the tenants between two attempts of a request.
func TestKeyIsVerifiedBeforeEachAttempt(t *testing.T) {
	for _, test := range []struct {
		name, tenants string
		knobs         TestingKnobs
		want          int
		sends         int64
	}{
		{"revoked", `[{"name":"acme","api_keys":["key-b"]}]`, TestingKnobs{}, 401, 1},
		{"given to another tenant", `[{"name":"zenith","api_keys":["key-a"]}]`, TestingKnobs{}, 503, 1},
		{"another key revoked", `[{"name":"acme","api_keys":["key-a"]}]`, TestingKnobs{}, 200, 2},
		{"control", `[{"name":"acme","api_keys":["key-b"]}]`, TestingKnobs{SkipKeyReverification: true}, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				proxy := newPipedProxy([]configure{withTenants(t, twoTenants), withKnobs(test.knobs)}, nil, respondWith(200, "x"))
				proxy.servers["at-0"] = func(c net.Conn, r *http.Request, body []byte) bool {
					setTenants(t, proxy, test.tenants)
					return respondWith(503, "", "X-Not-Executed: full")(c, r, body)
				}
				w, _ := proxy.roundTrip(t.Context(), headerCredential, "key-a")
				if w.Code != test.want || proxy.counters.Sends.Load() != test.sends {
					t.Errorf("status %d, %d attempts; want %d, %d", w.Code, proxy.counters.Sends.Load(), test.want, test.sends)
				}
				if revoked := proxy.counters.Revoked.Load(); (revoked == 1) != (test.sends == 1) {
					t.Errorf("requests counted as revoked while waiting: %d", revoked)
				}
			})
		})
	}
}

// TestRevocationEndsNoStream checks that a stream whose key is revoked while it runs can still be resumed at another server.
func TestRevocationEndsNoStream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		proxy := newPipedProxy([]configure{withTenants(t, twoTenants), withResumable}, nil, respondEvents(3, 4, true))
		proxy.servers["at-0"] = respondEventsThen(2, func(net.Conn, *http.Request, []byte) bool {
			setTenants(t, proxy, `[{"name":"acme","api_keys":["key-b"]}]`)
			return false
		})
		w, _ := proxy.roundTrip(t.Context(), headerCredential, "key-a")
		if w.Code != http.StatusOK || w.Body.String() != streamText(1, 4) {
			t.Errorf("status %d, %q", w.Code, w.Body)
		}
	})
}

// TestKeysThatCannotBeVerified covers a proxy without contact to the control plane in a system where a revocation must be in force
// everywhere within five seconds.
func TestKeysThatCannotBeVerified(t *testing.T) {
	for _, test := range []struct {
		name     string
		within   time.Duration
		stateAge time.Duration
		knobs    TestingKnobs
		public   bool
		want     int
	}{
		{"just in time", 5 * time.Second, 4500 * time.Millisecond, TestingKnobs{}, false, 200},
		{"too late", 5 * time.Second, 4501 * time.Millisecond, TestingKnobs{}, false, 503},
		{"a short bound", 400 * time.Millisecond, 201 * time.Millisecond, TestingKnobs{}, false, 503},
		{"a short bound, in time", 400 * time.Millisecond, 200 * time.Millisecond, TestingKnobs{}, false, 200},
		{"public route", 5 * time.Second, time.Hour, TestingKnobs{}, true, 200},
		{"no bound", 0, time.Hour, TestingKnobs{}, false, 200},
		{"control", 5 * time.Second, time.Hour, TestingKnobs{TrustOldKeys: true}, false, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, byOption := range []bool{false, true} {
				bubble.Test(t, func(t *testing.T) {
					proxy := newPipedProxy([]configure{withTenants(t, twoTenants), func(o *Options, c *config.Config) {
						o.knobs, o.RevokeWithin, c.Routes[0].Public = test.knobs, test.within, test.public
						if byOption {
							o.StateAge = func() time.Duration { return test.stateAge }
						}
					}}, respondWith(200, "x"))
					state := *proxy.clusterState.Load()
					state.ContactAge = test.stateAge / 2
					proxy.UpdateClusterState(time.Now().Add(-test.stateAge/2), state)
					w, _ := proxy.roundTrip(t.Context(), headerCredential, "key-a")
					if w.Code != test.want || (w.Header().Get("Retry-After") != "") != (test.want == 503) {
						t.Errorf("status %d, %v, want %d", w.Code, w.Header(), test.want)
					}
				})
			}
		})
	}
}

// TestAnswersNameNoKey checks that the key does not appear in any response generated by the proxy itself.
func TestAnswersNameNoKey(t *testing.T) {
	for _, tenants := range []string{twoTenants, `[]`} {
		bubble.Test(t, func(t *testing.T) {
			proxy := newPipedProxy([]configure{withTenants(t, tenants)})
			w, _ := proxy.roundTrip(t.Context(), headerCredential, "key-a")
			if text := fmt.Sprint(w.Code, w.Header(), w.Body); strings.Contains(text, "key-a") {
				t.Errorf("the response contains the key: %s", text)
			}
		})
	}
}
