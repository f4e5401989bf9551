package check

import (
	"cmp"
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// registryFigures adds what the registry did for those who wrote and those who read. A figure is left out where nothing was measured, or
// else a bar on it could pass without evidence.
func (e *Evidence) registryFigures(figures Figures) {
	if e.Plan.File.Registry.Count == 0 {
		return
	}
	called := e.writeFigures(figures)
	e.watchFigures(figures, called)
	e.failoverFigures(figures)
	for _, peak := range e.NodePeaks {
		figures["keeper_mb"], figures["keeper_cores"] = max(figures["keeper_mb"], peak.MemoryMB), max(figures["keeper_cores"], peak.Used)
	}
}

// writeFigures adds the figures of writes, and returns when each revision that the writers made was called.
func (e *Evidence) writeFigures(figures Figures) (called map[int64]int64) {
	latency := newHistogram()
	called = map[int64]int64{}
	var returns []int64
	uncertain := 0
	for _, call := range e.RegistryCalls {
		switch {
		case call.Write && call.Outcome == ctl.CallOK:
			recordLatency(latency, call.Return-call.Call)
			returns = append(returns, call.Return)
			called[call.Rev] = call.Call
		case call.Write && call.Outcome == ctl.CallUncertain:
			uncertain++
		}
	}
	figures["writes"], figures["writes_uncertain"] = float64(len(returns)), float64(uncertain)
	if len(returns) > 0 {
		figures["write_p99_ms"] = quantile(latency, 99)
	}
	if len(returns) > 1 {
		slices.Sort(returns)
		gap := int64(0)
		for i := 1; i < len(returns); i++ {
			gap = max(gap, returns[i]-returns[i-1])
		}
		figures["write_gap_ms"] = float64(gap) / 1e6
	}
	return called
}

// watchFigures adds the figures of watches: their number, how many lists came completely, and how long a revision that a writer made took
// from its call to the last reader.
func (e *Evidence) watchFigures(figures Figures, called map[int64]int64) {
	lastShown := map[int64]int64{} // of each revision: when the last reader received it
	complete := 0
	watches := map[int64]bool{} // by connection
	for _, update := range e.RegistryUpdates {
		if !update.Watch {
			continue
		}
		watches[update.Conn] = true
		if update.Complete {
			complete++
		} else if update.ServerCount > 0 && update.Cluster == e.Last.Cluster {
			lastShown[update.Rev] = max(lastShown[update.Rev], update.At)
		}
	}
	delays := newHistogram()
	for revision, at := range lastShown {
		if from, ok := called[revision]; ok {
			recordLatency(delays, at-from)
		}
	}
	if delays.TotalCount() > 0 {
		figures["told_p50_ms"], figures["told_p99_ms"] = quantile(delays, 50), quantile(delays, 99)
	}
	figures["watches"], figures["watches_whole"] = float64(len(watches)), float64(complete)
}

// failoverFigures adds how long it took from a kill of a node until the first write that was called afterwards returned. It sorts
// the calls by their return.
func (e *Evidence) failoverFigures(figures Figures) {
	slices.SortFunc(e.RegistryCalls, func(a, b ctl.RegistryCall) int { return cmp.Compare(a.Return, b.Return) })
	failover := newHistogram()
	for _, kill := range e.Kills {
		written := func(call ctl.RegistryCall) bool { return call.Write && call.Outcome == ctl.CallOK && call.Call > kill }
		if i := slices.IndexFunc(e.RegistryCalls, written); i >= 0 {
			recordLatency(failover, e.RegistryCalls[i].Return-kill)
		}
	}
	if failover.TotalCount() > 0 {
		figures["failover_p50_ms"], figures["failover_most_ms"] = quantile(failover, 50), float64(failover.Max())/1000
	}
}
