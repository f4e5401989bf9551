package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestKeyMovesWhileServerIsSilent guards against a request that runs for a tenant other than the one it was counted for.
func TestKeyMovesWhileServerIsSilent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		proxy := newPipedProxy([]configure{withTenants(t, twoTenants), withCategory(config.Idempotent)}, nil, nil)
		var second []string
		proxy.servers["at-0"] = func(net.Conn, *http.Request, []byte) bool {
			setTenants(t, proxy, `[{"name":"zenith","api_keys":["key-a"]}]`)
			time.Sleep(3 * time.Second)
			return false
		}
		proxy.servers["at-1"] = func(conn net.Conn, request *http.Request, body []byte) bool {
			second = append(second, fmt.Sprint(request.Header["X-Tenant"]))
			return respondWith(200, "x")(conn, request, body)
		}
		proxy.roundTrip(t.Context(), headerCredential, "key-a")
		if len(second) > 0 {
			t.Errorf("the request was counted for acme but ran for tenant %v", second)
		}
	})
}

// TestKeyRevokedWhileStreamIsSilent guards against a stream that is resumed without its tenant.
func TestKeyRevokedWhileStreamIsSilent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var second []string
		proxy := newPipedProxy([]configure{withTenants(t, twoTenants), withResumable}, nil, nil)
		proxy.servers["at-0"] = func(conn net.Conn, request *http.Request, body []byte) bool {
			setTenants(t, proxy, `[{"name":"acme","api_keys":["key-b"]}]`)
			time.Sleep(3 * time.Second)
			return respondEventsThen(2, func(net.Conn, *http.Request, []byte) bool { return false })(conn, request, body)
		}
		proxy.servers["at-1"] = func(conn net.Conn, request *http.Request, body []byte) bool {
			second = append(second, fmt.Sprint(request.Header["X-Tenant"]))
			return respondEvents(3, 4, true)(conn, request, body)
		}
		proxy.roundTrip(t.Context(), headerCredential, "key-a")
		for _, tenants := range second {
			if tenants != "[acme]" {
				t.Errorf("resumed with X-Tenant %s", tenants)
			}
		}
	})
}

// TestTenantsRemovedWhileRequestWaits guards against a 401 that the newest configuration does not require.
func TestTenantsRemovedWhileRequestWaits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		proxy := newPipedProxy([]configure{withTenants(t, twoTenants)}, nil, respondWith(200, "x"))
		proxy.servers["at-0"] = func(conn net.Conn, request *http.Request, body []byte) bool {
			state := *proxy.clusterState.Load()
			changed := *state.Config
			replaceTenants(t, &changed, "null")
			state.Config = &changed
			proxy.UpdateClusterState(time.Now(), state)
			return respondWith(503, "", "X-Not-Executed: full")(conn, request, body)
		}
		response, _ := proxy.roundTrip(t.Context(), headerCredential, "key-a")
		if response.Code == http.StatusUnauthorized {
			t.Error("status 401 although the newest configuration has no tenants")
		}
	})
}
