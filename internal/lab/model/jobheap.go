package model

// runningJob is a job that has a slot.
type runningJob struct {
	endsAt float64 // virtual work
	key    uint64
}

// jobHeap is a heap (container/heap) of the running jobs, the first to end on top.
type jobHeap []runningJob

func (j jobHeap) Len() int           { return len(j) }
func (j jobHeap) Less(a, b int) bool { return j[a].endsAt < j[b].endsAt }
func (j jobHeap) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobHeap) Push(x any)        { *j = append(*j, x.(runningJob)) }
func (j *jobHeap) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}
