package testcluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const (
	announceInterval = time.Second
	statusTimeout    = 500 * time.Millisecond // for all that one announcement asks
	stopSlack        = 2 * time.Second        // beyond the grace, before processes are killed
)

// Run is a system of real processes under way, with everything around it.
type Run struct {
	*Environment
	Fleet    *Fleet
	Scenario *Scenario

	traffic      context.Context
	stopTraffic  context.CancelFunc
	trafficEnded sync.WaitGroup
	activities   sync.WaitGroup // see Meanwhile
}

// Lines returns what runs where, as lines.
func (r *Run) Lines() []string {
	lines := []string{"list     http://" + r.ListAddress() + "/instances"}
	for _, m := range r.Fleet.Machines {
		what := "keeper  "
		if !m.HasDisk {
			what = "observer"
		}
		lines = append(lines, fmt.Sprintf("%s http://%s/status  zone %s  pid %d", what, r.Fleet.ControlAddress(m), m.Zone, r.Fleet.ControlPlaneProcess(m).Pid()))
	}
	for _, m := range r.Fleet.Machines {
		lines = append(lines, fmt.Sprintf("proxy    http://%s  zone %s  pid %d", r.Fleet.FrontAddress(m), m.Zone, r.Fleet.ProxyProcess(m).Pid()))
	}
	for _, s := range r.Servers {
		lines = append(lines, fmt.Sprintf("server   http://%s  %s %s  zone %s  %d slots", s.address, s.Service, s.ID(), s.Zone, s.Slots()))
	}
	return lines
}

// Meanwhile runs an activity beside Play, which waits for it. The activity must return soon after the context of Play has ended.
func (r *Run) Meanwhile(activity func()) { r.activities.Go(activity) }

// Play announces the state every second until ctx ends. Then it finishes the run and returns the report.
func (r *Run) Play(ctx context.Context, announce func(Second)) *Report {
	start, last := r.Now(), r.Stats()
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.activities.Wait()
			return r.Finish() //nolint:contextcheck // the end of a run is read also where ctx is over
		case <-tick.C:
		}
		second := r.observeSecond(ctx, start)
		second.Rate, last = second.Stats.Requests-last.Requests, second.Stats
		if ctx.Err() == nil {
			announce(second)
		}
	}
}

// observeSecond returns the state of the run, all but Rate. start is when Play began.
func (r *Run) observeSecond(ctx context.Context, start time.Duration) Second {
	second := Second{At: r.Now() - start, Stats: r.Stats()}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if status := r.Operator.Status(ctx); status != nil {
		second.Revision, second.Epoch, second.Chain = status.Revision, status.Epoch, status.Chain
	}
	second.LiveProxies = len(r.LiveProxies(ctx))
	second.ReadyProxies = r.CountReady(ctx, r.Fleet.ReadinessAddresses())
	return second
}

// Finish ends the traffic, reads the configuration back, ends the processes and the environment, and returns the report.
func (r *Run) Finish() *Report {
	r.stopTraffic()
	r.trafficEnded.Wait()
	report := &Report{Stats: r.Stats(), Died: r.Fleet.Died()}
	ctx, cancel := context.WithTimeout(context.Background(), r.Scenario.Bounds.Contact)
	defer cancel()
	r.Evidence.Read, report.ReadError = r.Operator.Read(ctx)
	report.Killed = r.stop()
	for _, attempt := range r.Evidence.Unanswered() {
		report.Unanswered = append(report.Unanswered, r.Evidence.Describe(attempt))
	}
	report.Verdicts = rules.Check(r.Evidence)
	report.Failures = r.Failures()
	report.Calls, report.CallsOver = r.Platform.Calls()
	return report
}

// stop ends everything, and returns the names of the processes that had to be killed.
func (r *Run) stop() (killed []string) {
	r.stopTraffic()
	r.trafficEnded.Wait()
	killed = r.Fleet.Stop(r.Scenario.Bounds.Grace + stopSlack)
	r.Close()
	return killed
}
