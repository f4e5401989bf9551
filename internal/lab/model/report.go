package model

// Report is a server's load as it was at some moment in the past.
type Report struct {
	InFlight        int
	Waiting         int
	ErrorsPerSecond float64 // a second
	At              int64   // when it was so
}

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

// Report is what an answer at the time of the last call tells of the load; ok is false where nothing is to be seen yet.
func (s *Server) Report() (r Report, ok bool) {
	if len(s.reports) == 0 || s.reports[0].At+int64(s.ReportDelay) > s.now {
		return Report{}, false
	}
	return s.reports[0], true
}
