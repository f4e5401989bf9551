package model

// Report is the load of a server at a time in the past.
type Report struct {
	InFlight        int     // jobs that run or wait
	Waiting         int     // of these
	ErrorsPerSecond float64 // since the report before
	At              int64   // ns
}

// recordReport records a report when one is due, and drops those that newer visible ones replace.
func (s *Server) recordReport() {
	if s.ReportEvery <= 0 || s.now-s.lastReportAt < int64(s.ReportEvery) {
		return
	}
	since := float64(s.now-s.lastReportAt) / 1e9
	s.reports = append(s.reports, Report{s.JobCount(), len(s.waiting), float64(s.errorCount) / since, s.now})
	s.lastReportAt, s.errorCount = s.now, 0
	for len(s.reports) > 1 && s.reports[1].At+int64(s.ReportDelay) <= s.now {
		s.reports = s.reports[1:]
	}
}

// Report is the load that a response at the time of the last call carries; ok is false where no report is visible yet.
func (s *Server) Report() (report Report, ok bool) {
	if len(s.reports) == 0 || s.reports[0].At+int64(s.ReportDelay) > s.now {
		return Report{}, false
	}
	return s.reports[0], true
}
