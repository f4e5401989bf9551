package quotarpc

import (
	"syscall"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
)

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAdmit reports the cost of a request whose limiter is at another proxy: client and server together, over loopback.
func BenchmarkAdmit(b *testing.B) {
	transport := NewTransport()
	b.Cleanup(transport.CloseIdleConnections)
	own := ownLimiterFunc(unavailable)
	client := NewClient(ClientOptions{Self: "a", Limiter: own, Transport: transport, Log: discardLogger()})
	b.Cleanup(client.Close)
	client.SetPeers([]Peer{{Node: "b", Address: serveLoopback(b, quotapb.NewLimitingServer(limitingFunc(admitAll)))}})
	tenant := limitedTenant("t", 100, 50)
	before := cpuTime()
	for b.Loop() {
		client.Admit(b.Context(), tenant)
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
}
