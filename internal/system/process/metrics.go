package process

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/invariant"
)

// MetricsPath is the path at which a process serves its metrics, in the Prometheus text format, if it was started with a metrics port.
const MetricsPath = "/metrics"

// ServeMetrics serves the process's metrics in group until ctx is done. Without a metrics port it does nothing. Errors are marked
// ErrListen.
func (p *Process) ServeMetrics(ctx context.Context, group *Group) error {
	if p.metricsPort == 0 {
		return nil
	}
	listener, err := Listen(ctx, net.JoinHostPort(p.Settings.IP, strconv.Itoa(p.metricsPort)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, false)
	})
	group.ServeHTTP(ctx, listener, mux)
	return nil
}

// logViolations logs each violation of an invariant.
func logViolations(logger log.Interface, node string) {
	invariant.Notify(func(v invariant.Violation) {
		logger.WithField("node", node).WithField("invariant", v.Name).WithField("count", v.Count).Error("invariant violated: " + v.Statement)
	})
}
