package check

import (
	"cmp"
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// registryFigures are what the keepers did, for those who wrote and those who read.
func (e *Evidence) registryFigures(figures Figures) {
	if e.Plan.File.Registry.Count == 0 {
		return
	}
	took, told := newHistogram(), newHistogram()
	done, uncertain := 0, 0
	var ends []int64
	called := map[int64]int64{} // of the revisions that the writers made: when they called
	for _, w := range e.RegistryCalls {
		switch {
		case w.Write && w.Outcome == "ok":
			done++
			recordLatency(took, w.Return-w.Call)
			ends = append(ends, w.Return)
			called[w.Rev] = w.Call
		case w.Write && w.Outcome == "uncertain":
			uncertain++
		}
	}
	slices.Sort(ends)
	gap := int64(0)
	for i := 1; i < len(ends); i++ {
		gap = max(gap, ends[i]-ends[i-1])
	}
	last := map[int64]int64{} // of each revision: when the last reader was told it
	watches, whole := 0, 0
	seen := map[int64]bool{}
	for _, s := range e.RegistryUpdates {
		if !s.Watch {
			continue
		}
		if !seen[s.Conn] {
			seen[s.Conn] = true
			watches++
		}
		if s.Complete {
			whole++
		} else if s.ServerCount > 0 && s.Cluster == e.Last.Cluster {
			last[s.Rev] = max(last[s.Rev], s.At)
		}
	}
	for rev, at := range last {
		if from, ok := called[rev]; ok {
			recordLatency(told, at-from)
		}
	}
	slices.SortFunc(e.RegistryCalls, func(a, b ctl.RegistryCall) int { return cmp.Compare(a.Return, b.Return) })
	failover := newHistogram()
	for _, kill := range e.Kills { // to the first write that was called afterwards and acknowledged
		if i := slices.IndexFunc(e.RegistryCalls, func(w ctl.RegistryCall) bool { return w.Write && w.Outcome == "ok" && w.Call > kill }); i >= 0 {
			recordLatency(failover, e.RegistryCalls[i].Return-kill)
		}
	}
	put := func(name string, v float64, seen bool) {
		if seen { // else a bar on it could hold of nothing
			figures[name] = v
		}
	}
	put("failover_p50_ms", quantile(failover, 50), failover.TotalCount() > 0)
	put("failover_most_ms", float64(failover.Max())/1000, failover.TotalCount() > 0)
	for _, p := range e.NodePeaks {
		figures["keeper_mb"], figures["keeper_cores"] = max(figures["keeper_mb"], p.MemoryMB), max(figures["keeper_cores"], p.Used)
	}
	figures["writes"], figures["writes_uncertain"] = float64(done), float64(uncertain)
	put("write_p99_ms", quantile(took, 99), done > 0)
	put("write_gap_ms", float64(gap)/1e6, done > 1)
	put("told_p50_ms", quantile(told, 50), told.TotalCount() > 0)
	put("told_p99_ms", quantile(told, 99), told.TotalCount() > 0)
	figures["watches"], figures["watches_whole"] = float64(watches), float64(whole)
}
