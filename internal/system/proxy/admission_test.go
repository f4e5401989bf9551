package proxy

import (
	"context"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// fakeAdmitter returns the same admission for every request, and records the tenant of each request.
type fakeAdmitter struct {
	admission quota.Admission
	delay     time.Duration
	asked     []string
	onAsk     func()
}

func (a *fakeAdmitter) Admit(ctx context.Context, tenant *config.Tenant) quota.Admission {
	a.asked = append(a.asked, tenant.Name)
	if a.onAsk != nil {
		a.onAsk()
	}
	select {
	case <-ctx.Done():
	case <-time.After(a.delay):
	}
	return a.admission
}

// limitedTenants are one tenant with a limit and one without.
const limitedTenants = `[{"name":"acme","api_keys":["key-a"],"rate_per_s":5,"burst":2},{"name":"zenith","api_keys":["key-z"],"burst":2}]`

// TestLimitsOfTenants checks that a request is counted once, however many attempts it takes, and only for a tenant with a limit, and
// that it is answered according to the admission.
func TestLimitsOfTenants(t *testing.T) {
	for _, test := range []struct {
		name, key  string
		verdict    quota.Verdict
		public     bool
		want       int
		retryAfter string
		asked      string
	}{
		{"within", "key-a", quota.Admitted, false, 200, "", "acme"},
		{"over", "key-a", quota.OverLimit, false, 429, "0.400", "acme"},
		{"not known", "key-a", quota.Unavailable, false, 503, "0.400", "acme"},
		{"over, on a public route", "key-a", quota.OverLimit, true, 429, "0.400", "acme"},
		{"no limit", "key-z", quota.OverLimit, false, 200, "", ""},
		{"nobody", "key-x", quota.OverLimit, true, 200, "", ""},
		{"unknown", "key-x", quota.OverLimit, false, 401, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				admitter := &fakeAdmitter{admission: quota.Admission{Verdict: test.verdict, RetryAfter: 400 * time.Millisecond}}
				proxy := newPipedProxy([]configure{withTenants(t, limitedTenants), func(o *Options, c *config.Config) {
					o.Quota, c.Routes[0].Public = admitter, test.public
				}}, respondWith(503, "", "X-Not-Executed: full"), respondWith(200, "x"))
				w, _ := proxy.roundTrip(t.Context(), headerCredential, test.key)
				if w.Code != test.want || w.Header().Get("Retry-After") != test.retryAfter {
					t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				if asked := strings.Join(admitter.asked, ","); asked != test.asked {
					t.Errorf("admission requested for tenants %q, want %q", asked, test.asked)
				}
				if served := proxy.counters.Sends.Load() > 0; served != (test.want == 200) {
					t.Errorf("request sent to a server: %v", served)
				}
				counters := &proxy.counters
				over, unavailable := counters.OverLimit.Load() == 1, counters.QuotaUnavailable.Load() == 1
				if over != (test.want == 429) || unavailable != (test.want == 503) {
					t.Errorf("counted as over the limit: %v, as quota unavailable: %v", over, unavailable)
				}
			})
		})
	}
}

// TestAdmissionEndsWithDeadline checks that a request is answered by its deadline if its admission takes longer than the client waits.
func TestAdmissionEndsWithDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		admitter := &fakeAdmitter{admission: quota.Admission{Verdict: quota.Unavailable}, delay: time.Minute}
		proxy := newPipedProxy([]configure{withTenants(t, limitedTenants), func(o *Options, _ *config.Config) { o.Quota = admitter }})
		w, took := proxy.roundTrip(t.Context(), headerCredential, "key-a", headerTimeLeft, "300")
		if w.Code != 503 || took > 300*time.Millisecond {
			t.Errorf("status %d after %v", w.Code, took)
		}
	})
}

// TestKeyRevokedDuringAdmission checks that a request is rejected if its key is revoked while its admission is pending.
func TestKeyRevokedDuringAdmission(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		admitter := &fakeAdmitter{}
		proxy := newPipedProxy([]configure{withTenants(t, limitedTenants), func(o *Options, _ *config.Config) { o.Quota = admitter }},
			respondWith(200, "x"))
		admitter.onAsk = func() { setTenants(t, proxy, `[]`) }
		if w, _ := proxy.roundTrip(t.Context(), headerCredential, "key-a"); w.Code != 401 || proxy.counters.Sends.Load() != 0 {
			t.Errorf("status %d, %d attempts", w.Code, proxy.counters.Sends.Load())
		}
	})
}
