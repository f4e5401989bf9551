package main

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/failuredetector"
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const (
	heartbeatInterval = 400 * time.Millisecond // at most, to the proxies that monitor this one
	suspectTimeout    = 1300 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
)

// openFailureDetector listens for datagrams of the other proxies and creates the agent, whose verdicts go to the control plane.
func (p *proxyProcess) openFailureDetector(ctx context.Context, address string) error {
	packets, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "cannot listen at %s by UDP: check that the port is free", address), process.ErrListen)
	}
	conn, ok := packets.(*net.UDPConn)
	if !ok {
		return errors.Newf("listening at %s did not yield a UDP socket: run on a system that supports UDP sockets", address)
	}
	interval := heartbeatInterval
	if maxInterval := settings.Milliseconds(p.settings.HeartbeatMS); maxInterval > 0 {
		interval = min(interval, maxInterval)
	}
	p.agent = failuredetector.NewAgent(failuredetector.AgentOptions{
		Options: failuredetector.Options{
			Self:              p.settings.Node,
			Incarnation:       p.subscriber.Incarnation(),
			HeartbeatInterval: interval,
			SuspectTimeout:    suspectTimeout,
			ProbeTimeout:      probeTimeout,
		},
		Conn:         conn,
		OnDownReport: p.reportDown,
		Log:          p.log,
	})
	return nil
}

// reportDown reports to the control plane that a proxy is down. Reports that a proxy is up are ignored, since that proxy reports it itself.
func (p *proxyProcess) reportDown(report failuredetector.DownReport) {
	if report.Down {
		p.subscriber.Report(report.Node, report.Incarnation)
	}
}
