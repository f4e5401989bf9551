package operatorapi

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// chainKnobs disable protections of the state machine and the chain.
type chainKnobs struct {
	forgetHistoryAndReject bool // no history is kept, and changes that cannot be decided are rejected
	ignoreFences           bool // evacuations are not fenced
	omitRecordsInForce     bool // a change that is already in force leaves no record
	rejectByLocalState     bool // a node rejects changes by its local state alone

	frequentFaults map[string]bool // faults that happen four times as often, so that a control finds a violation soon
}

// The number of nodes in a model, which the seed chooses. A single node leaves so many changes open that they take long to check.
const minModelNodes, maxModelNodes = 2, 5

// modelCluster has the APIs of two to five nodes over one chain. The chain is modelled as a state that applies each change atomically; changes
// and verdicts may be lost, delayed and duplicated on the way to it and back. All of it runs in the fake time of a synctest bubble.
type modelCluster struct {
	knobs        chainKnobs
	unredirected bool // nodes submit evacuations without a redirect
	nodes        []*modelNode
	startedAt    time.Time
	pending      sync.WaitGroup

	mu             sync.Mutex
	rng            *rand.Rand
	state          *controlstate.State
	applied        map[string]time.Duration // change -> when it was applied
	configurations map[int64]string         // version -> configuration
	eventCounts    map[string]int           // by event
}

type modelNode struct {
	*modelCluster
	handler http.Handler

	mu               sync.Mutex
	committed        *controlstate.State
	incarnation      context.Context // ends when it is killed
	kill             context.CancelFunc
	frozenUntil      time.Time // until then it is frozen
	partitionedUntil time.Time // until then it does not reach the other nodes
}

func newModelCluster(seed uint64, start *controlstate.State, knobs TestingKnobs, chain chainKnobs) *modelCluster {
	w := &modelCluster{knobs: chain, unredirected: knobs.SubmitWithoutRedirect, startedAt: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), state: start,
		applied: map[string]time.Duration{}, configurations: map[int64]string{}, eventCounts: map[string]int{}}
	if start.Config != nil {
		w.configurations[start.Revision()] = string(start.Config.Raw)
	}
	for range minModelNodes + seed%(maxModelNodes-minModelNodes+1) {
		k := &modelNode{modelCluster: w, committed: start}
		k.incarnation, k.kill = context.WithCancel(context.Background())
		k.handler = Handler(Options{Chain: k, Log: discardLog(), CommittedState: k.committedState, knobs: knobs})
		w.nodes = append(w.nodes, k)
	}
	return w
}

func (w *modelCluster) elapsed() time.Duration { return time.Since(w.startedAt) }

// randomDuration returns a uniformly distributed duration from low up to but not including high.
func (w *modelCluster) randomDuration(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// happens reports whether an event with a probability of one in n happens, and counts it if so.
func (w *modelCluster) happens(n int, what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.knobs.frequentFaults[what] {
		n = max(2, n/4)
	}
	if w.rng.IntN(n) > 0 {
		return false
	}
	w.eventCounts[what]++
	return true
}

func (w *modelCluster) recordEvent(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.eventCounts[what]++
}

func changeKey(c controlstate.Change) string {
	return string(rune('0'+c.Op)) + string(c.Body)
}

// decide returns the head's verdict on a change, and commits the change if it is accepted.
func (w *modelCluster) decide(change controlstate.Change) controlstate.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	isZone := change.Op == controlstate.OpEvacuate || change.Op == controlstate.OpReadmit
	if w.knobs.ignoreFences && isZone {
		change.Base = math.MaxInt64
	}
	inForce := isZone && w.state.Evacuated[change.Zone] == (change.Op == controlstate.OpEvacuate)
	if w.knobs.omitRecordsInForce && inForce {
		return controlstate.Verdict{Kind: controlstate.AlreadyApplied, Seq: w.state.Seq}
	}
	checkedState := w.state
	if w.knobs.forgetHistoryAndReject {
		checkedState = checkedState.WithoutHistory()
	}
	verdict := checkedState.Check(change)
	if w.knobs.forgetHistoryAndReject && verdict.Kind == controlstate.Uncertain {
		verdict.Kind = controlstate.Stale
	}
	if verdict.Kind == controlstate.Superseded {
		w.eventCounts["superseded"]++
	}
	if verdict.Kind == controlstate.AlreadyApplied && !isZone {
		w.eventCounts["confirmed again"]++
	}
	if verdict.Kind != controlstate.Accepted {
		return verdict
	}
	next, err := w.state.Apply(change.Record(verdict.Seq))
	if err != nil {
		return controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
	}
	if w.rng.IntN(8) == 0 { // models a restart, a new head or a restore: the state is decoded from its encoding
		if next, err = controlstate.Decode(next.Encode()); err != nil {
			return controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		}
		w.eventCounts["snapshot"]++
	}
	w.state = next
	if !isZone {
		w.applied[changeKey(change)] = w.elapsed()
		w.configurations[next.Revision()] = string(next.Config.Raw)
	}
	for _, k := range w.nodes {
		lag := time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))
		w.pending.Go(func() { k.learnCommitted(next, lag) })
	}
	return verdict
}

// learnCommitted delivers a committed state to a node after a lag.
func (k *modelNode) learnCommitted(s *controlstate.State, lag time.Duration) {
	time.Sleep(lag)
	k.waitUntil(func() time.Time { return later(k.frozenUntil, k.partitionedUntil) })
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Seq > k.committed.Seq {
		k.committed = s
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitUntil waits until a time that fault injection may postpone.
func (k *modelNode) waitUntil(until func() time.Time) {
	for {
		k.mu.Lock()
		left := time.Until(until())
		k.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// waitWhileFrozen waits while the node is frozen.
func (k *modelNode) waitWhileFrozen() { k.waitUntil(func() time.Time { return k.frozenUntil }) }

func (k *modelNode) partitioned() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.partitionedUntil)
}

func (k *modelNode) committedState() *controlstate.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.committed
}

func (k *modelNode) currentIncarnation() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.incarnation
}

// Submit implements Chain: the change may reach the head late, twice or never, and the verdict may be lost.
func (k *modelNode) Submit(ctx context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	k.waitWhileFrozen()
	if k.knobs.rejectByLocalState {
		if verdict := k.committedState().Check(change); verdict.Kind == controlstate.Stale || verdict.Kind == controlstate.Invalid {
			return verdict, nil
		}
	}
	answers := make(chan controlstate.Verdict, 1)
	k.pending.Go(func() {
		if k.happens(40, "change lost") || k.partitioned() && k.happens(2, "change lost by a partition") {
			return
		}
		time.Sleep(k.randomDuration(500*time.Microsecond, 5*time.Millisecond))
		if k.happens(15, "change delayed") {
			time.Sleep(k.randomDuration(time.Second, 22*time.Second))
		}
		k.waitUntil(func() time.Time { return k.partitionedUntil })
		verdict := k.decide(change)
		if k.happens(30, "change decided twice") {
			k.pending.Go(func() {
				time.Sleep(k.randomDuration(0, 20*time.Second))
				k.decide(change)
			})
		}
		if k.happens(20, "verdict lost") {
			return
		}
		time.Sleep(k.randomDuration(500*time.Microsecond, 5*time.Millisecond))
		k.waitWhileFrozen()
		answers <- verdict
	})
	defer k.waitWhileFrozen()
	select {
	case verdict := <-answers:
		return verdict, nil
	case <-ctx.Done():
		return controlstate.Verdict{}, ctx.Err()
	}
}

// Read implements Chain.
func (k *modelNode) Read(ctx context.Context) (*controlstate.State, error) {
	defer k.waitWhileFrozen()
	k.waitWhileFrozen()
	time.Sleep(k.randomDuration(2*time.Millisecond, 5*time.Millisecond))
	if k.happens(6, "slow round") {
		time.Sleep(k.randomDuration(50*time.Millisecond, 600*time.Millisecond))
	}
	if k.partitioned() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	k.modelCluster.mu.Lock()
	s := k.state
	k.modelCluster.mu.Unlock()
	time.Sleep(k.randomDuration(2*time.Millisecond, 5*time.Millisecond))
	k.learnCommitted(s, 0) // a read waits until the node has the state that it returns
	return s, nil
}

// injectFaults freezes, partitions and kills nodes until ctx ends.
func (w *modelCluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(w.randomDuration(200*time.Millisecond, 4*time.Second))
		node := w.nodes[w.randomDuration(0, time.Duration(len(w.nodes)))]
		span := w.randomDuration(500*time.Millisecond, 20*time.Second)
		switch w.randomDuration(0, 3) {
		case 0:
			w.recordEvent("freeze")
			node.mu.Lock()
			node.frozenUntil = later(node.frozenUntil, time.Now().Add(span))
			node.mu.Unlock()
		case 1:
			w.recordEvent("cut")
			node.mu.Lock()
			node.partitionedUntil = later(node.partitionedUntil, time.Now().Add(span))
			node.mu.Unlock()
		case 2:
			w.recordEvent("kill")
			node.mu.Lock()
			node.kill()
			node.incarnation, node.kill = context.WithCancel(context.Background())
			node.frozenUntil = time.Time{}
			node.mu.Unlock()
		}
	}
	for _, node := range w.nodes {
		node.mu.Lock()
		node.kill()
		node.incarnation, node.kill = context.WithCancel(context.Background())
		node.frozenUntil, node.partitionedUntil = time.Time{}, time.Time{}
		node.mu.Unlock()
	}
}
