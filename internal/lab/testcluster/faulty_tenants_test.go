package testcluster

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// faultyTenants are tenants with a proxy that treats them as the operators' pages ask, until a defect is injected.
type faultyTenants struct {
	*faultyProxy
	config *rules.Config
	// Defects.
	passesKey, passesForgedTenant, admitsAnyKey bool
}

// rejectUnknownKey answers requests with a key that no tenant holds, and sets the header fields of the others.
func (f *faultyTenants) rejectUnknownKey(w http.ResponseWriter, r *http.Request) bool {
	route, tenant := f.config.Match(r.Host, r.URL.Path), f.config.TenantOfKey(r.Header.Get("X-Credential"))
	if tenant == nil && !route.Public && !f.admitsAnyKey {
		w.WriteHeader(http.StatusUnauthorized)
		return true
	}
	if !f.passesForgedTenant || r.Header.Get("X-Tenant") == "" {
		r.Header.Del("X-Tenant")
		if tenant != nil {
			r.Header.Set("X-Tenant", tenant.Name)
		}
	}
	if key := r.Header.Get("X-Credential"); key != "" {
		r.Header.Del("X-Credential")
		if f.passesKey {
			r.Header["x_credential"] = []string{key}
		}
	}
	return false
}

// only has all clients be one caller.
func only(s *Scenario, caller Caller) {
	for i := range s.Kinds {
		s.Kinds[i].Callers = []Caller{caller}
	}
}

// tenantDefect is a way in which a proxy breaks a rule on tenants on purpose.
type tenantDefect struct {
	name   string
	broken string // the rules that the checks have to report
	edit   func(*Scenario)
	inject func(*testing.T, *faultyTenants)
}

func unchanged(*Scenario) {}

func tenantDefects() []tenantDefect {
	return []tenantDefect{
		{"honest", "", unchanged, func(*testing.T, *faultyTenants) {}},
		{"passes keys on", "UNASKED", unchanged, func(_ *testing.T, f *faultyTenants) { f.passesKey = true }},
		{"passes forged names on", "UNASKED", unchanged, func(_ *testing.T, f *faultyTenants) { f.passesForgedTenant = true }},
		{"admits any key", "ROUTE CONFIG", unchanged, func(_ *testing.T, f *faultyTenants) { f.admitsAnyKey = true }},
		{"admits no key", "DENIED CONFIG", func(s *Scenario) {
			s.Kinds = s.Kinds[:3] // A public route needs no key.
			only(s, Caller{Weight: 1, Key: largeKey})
		}, func(_ *testing.T, f *faultyTenants) { f.config = &rules.Config{Routes: f.config.Routes} }},
		{"admits a key that was taken away", "CONFIG", func(s *Scenario) { only(s, Caller{Weight: 1, Key: RevocableKey}) }, removeRevocableKey},
		{"takes a key that two tenants share", "CONFIG", unchanged, func(t *testing.T, f *faultyTenants) {
			shared := cloneTenants(f.config, 2)
			shared.Tenants[1].Keys = append(shared.Tenants[1].Keys, largeKey)
			if err := f.w.Operator.ReplaceInvalid(t.Context(), shared, 1); err != nil {
				t.Error(err)
			}
		}},
		{"sends a tenant's requests abroad", "HOME", func(s *Scenario) {
			s.Config.Routes[2].Homes, s.Config.Routes[3].Homes = []string{}, []string{}
			only(s, Caller{Weight: 1, Key: homeKey})
		}, func(_ *testing.T, f *faultyTenants) {
			f.service = func(path string) *Server {
				if strings.HasPrefix(path, "/thumb/") || strings.HasPrefix(path, publicPrefix) {
					return f.server(thumbService, "south")
				}
				return f.server(modelService, "south")
			}
		}},
		{"knows no limit", "QUOTA", func(s *Scenario) {
			s.Bounds.QuotaSlack = 0
			only(s, Caller{Weight: 1, Key: SmallKey})
			small := s.Config.Tenant(SmallTenant)
			small.RatePerSecond, small.Burst = 0.5, 1
		}, func(*testing.T, *faultyTenants) {}},
	}
}

// removeRevocableKey takes a key away of which the proxy is not told.
func removeRevocableKey(t *testing.T, f *faultyTenants) {
	after := cloneTenants(f.config, 2)
	after.Tenant(LargeTenant).Keys = []string{largeKey}
	if err := f.w.Operator.Replace(t.Context(), after, 1); err != nil {
		t.Error(err)
	}
}

// TestFaultyTenantsAreDetected checks that the evidence which clients, servers and the operator record is enough to detect each defect.
func TestFaultyTenantsAreDetected(t *testing.T) {
	for _, defect := range tenantDefects() {
		t.Run(defect.name, func(t *testing.T) {
			t.Parallel()
			var config *rules.Config
			proxy := &faultyTenants{faultyProxy: startFaultyProxy(t, func(s *Scenario) {
				s.AddTenants()
				defect.edit(s)
				config = s.Config
			})}
			proxy.config, proxy.reject = config, proxy.rejectUnknownKey
			defect.inject(t, proxy)
			got := proxy.play(t, 8)
			if want := strings.Fields(defect.broken); !slices.Equal(got, want) {
				t.Errorf("broken %v, want %v", got, want)
			}
		})
	}
}

// TestHeadersOfCallers checks that a caller without a key sends none, and another sends its key and the name that it forges.
func TestHeadersOfCallers(t *testing.T) {
	if fields := (Caller{}).headers(); len(fields) != 0 {
		t.Errorf("%v", fields)
	}
	fields := Caller{Key: "k", ForgedTenant: "f"}.headers()
	if want := []headerField{{"X-Credential", "k"}, {"X-Tenant", "f"}}; !slices.Equal(fields, want) {
		t.Errorf("%v, want %v", fields, want)
	}
}

// TestKeyFieldInAnySpelling checks that servers see a key that is passed on under a name which other programs take for the same.
func TestKeyFieldInAnySpelling(t *testing.T) {
	for name, want := range map[string]bool{"X-Credential": true, "x_credential": true, "X-CREDENTIAL": true, "X-Tenant": false, "Credential": false} {
		if got := hasKeyField(http.Header{name: {"k"}}); got != want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
