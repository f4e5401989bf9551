package balance

import (
	"testing"
	"time"
)

func BenchmarkRequest(b *testing.B) {
	bal, recorder := start(b, settings(), twoEndpoints())
	b.ReportAllocs()
	for i := range b.N {
		recorder.sent = recorder.sent[:0]
		recorder.now += 10 * time.Millisecond
		bal.Request(recorder.now, Request{ID: RequestID(i), Tenant: -1, TimeLeft: time.Second})
		bal.Result(recorder.now, Result{ID: RequestID(i), Endpoint: recorder.sent[0].to, Latency: time.Millisecond, Finished: true})
	}
}
