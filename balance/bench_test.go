package balance

import (
	"testing"
	"time"
)

func BenchmarkRequest(b *testing.B) {
	bal, h := start(b, settings(), pair())
	b.ReportAllocs()
	for i := range b.N {
		h.sent = h.sent[:0]
		h.now += 10 * time.Millisecond
		bal.Request(h.now, Request{ID: RequestID(i), Tenant: -1, TimeLeft: time.Second})
		bal.Result(h.now, Result{ID: RequestID(i), Endpoint: h.sent[0].to, Latency: time.Millisecond, Finished: true})
	}
}
