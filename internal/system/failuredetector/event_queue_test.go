package failuredetector

// event is a function scheduled for a time; order breaks ties between events with the same time.
type event struct {
	at    Time
	order int
	run   func()
}

// events is a min-heap by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
