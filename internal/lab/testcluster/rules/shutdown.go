package rules

// checkLost checks LOST: around a graceful shutdown of a proxy, requests that the proxy has read are answered completely.
func (x *index) checkLost(verdict *Verdict) {
	for _, fault := range x.Faults {
		if fault.Kind != Terminate || fault.Proxy == "" {
			continue
		}
		until := fault.At + x.Bounds.Grace + 1e9
		for _, attempt := range x.Attempts {
			if attempt.Proxy != fault.Proxy || attempt.Ended < fault.At || attempt.Ended > until || !x.plannedOnly(attempt) {
				continue
			}
			verdict.Checked++
			if attempt.Outcome != Truncated || x.abortedByServer(attempt) {
				continue
			}
			if len(x.runs[attempt.ID]) > 0 || attempt.Ended > attempt.SentComplete+x.Bounds.LossSlack {
				verdict.violation("%s was truncated at %s, %v after SIGTERM", attempt.ID, attempt.Proxy, attempt.Ended-fault.At)
			}
		}
	}
}

// plannedOnly reports whether the proxy of an attempt had no unplanned fault from Bounds.Contact before the attempt until its end.
func (x *index) plannedOnly(attempt *Attempt) bool {
	for _, other := range x.Faults {
		if other.Proxy == attempt.Proxy && other.isUnplanned() && other.At <= attempt.Ended && other.endedAt() > attempt.Sent-x.Bounds.Contact {
			return false
		}
	}
	return true
}

// abortedByServer reports whether a server aborted an attempt.
func (x *index) abortedByServer(attempt *Attempt) bool {
	for _, arrival := range x.runs[attempt.ID] {
		if arrival.Aborted {
			return true
		}
	}
	return false
}
