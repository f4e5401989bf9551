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

// chainHooks take protections of the state machine and the chain out.
type chainHooks struct {
	forgetAndRefuse bool // nothing is remembered, and what cannot be told is refused
	unfenced        bool // evacuations are not fenced
	silentInForce   bool // an order that is in force already leaves no record
	localVerdict    bool // a keeper refuses by what it alone holds

	often map[string]bool // troubles that come about four times as often, so that a control finds its fault soon
}

// modelWorld is keepers' APIs over one chain, which is modelled as a state that takes each change at one moment; the ways to
// it and back lose, hold up and repeat. All of it runs in the time of a synctest bubble.
type modelWorld struct {
	hooks   chainHooks
	keepers []*modelKeeper
	began   time.Time
	running sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	state   *controlstate.State
	applied map[string]time.Duration // change -> when it was applied
	raw     map[int64]string         // version -> configuration
	counts  map[string]int           // of what came about
}

type modelKeeper struct {
	*modelWorld
	handler http.Handler

	mu        sync.Mutex
	known     *controlstate.State
	life      context.Context // ends when it is killed
	kill      context.CancelFunc
	frozen    time.Time // until then it stands still
	cut       time.Time // until then it does not reach the other keepers
	untrusted time.Time // until then it counts as just thawed
}

func newModelWorld(seed uint64, start *controlstate.State, h TestingKnobs, c chainHooks) *modelWorld {
	w := &modelWorld{hooks: c, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), state: start,
		applied: map[string]time.Duration{}, raw: map[int64]string{}, counts: map[string]int{}}
	if start.Config != nil {
		w.raw[start.Revision()] = string(start.Config.Raw)
	}
	for range 3 {
		k := &modelKeeper{modelWorld: w, known: start}
		k.life, k.kill = context.WithCancel(context.Background())
		k.handler = Handler(Options{Chain: k, Log: quiet(), CommittedState: k.current, Stalled: k.stalled, knobs: h})
		w.keepers = append(w.keepers, k)
	}
	return w
}

func (w *modelWorld) since() time.Duration { return time.Since(w.began) }

// between draws a span, evenly.
func (w *modelWorld) between(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// chance tells whether what comes about once in n times does.
func (w *modelWorld) chance(n int, what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hooks.often[what] {
		n = max(2, n/4)
	}
	if w.rng.IntN(n) > 0 {
		return false
	}
	w.counts[what]++
	return true
}

func (w *modelWorld) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

func changeKey(c controlstate.Change) string {
	return string(rune('0'+c.Op)) + string(c.Body)
}

// take is the head's judgement, and the commit.
func (w *modelWorld) take(c controlstate.Change) controlstate.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	isZone := c.Op == controlstate.OpEvacuate || c.Op == controlstate.OpReadmit
	if w.hooks.unfenced && isZone {
		c.Base = math.MaxInt64
	}
	inForce := isZone && w.state.Evacuated[c.Zone] == (c.Op == controlstate.OpEvacuate)
	if w.hooks.silentInForce && inForce {
		return controlstate.Verdict{Kind: controlstate.AlreadyApplied, Seq: w.state.Seq}
	}
	judge := w.state
	if w.hooks.forgetAndRefuse {
		judge = judge.WithoutHistory()
	}
	v := judge.Check(c)
	if w.hooks.forgetAndRefuse && v.Kind == controlstate.Uncertain {
		v.Kind = controlstate.Stale
	}
	if v.Kind == controlstate.Superseded {
		w.counts["superseded"]++
	}
	if v.Kind == controlstate.AlreadyApplied && !isZone {
		w.counts["confirmed again"]++
	}
	if v.Kind != controlstate.Accepted {
		return v
	}
	next, err := w.state.Apply(c.Record(v.Seq))
	if err != nil {
		return controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
	}
	if w.rng.IntN(8) == 0 { // a restart, a new head or a restore: the state comes from its encoding
		if next, err = controlstate.Decode(next.Encode()); err != nil {
			return controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		}
		w.counts["snapshot"]++
	}
	w.state = next
	if !isZone {
		w.applied[changeKey(c)] = w.since()
		w.raw[next.Revision()] = string(next.Config.Raw)
	}
	for _, k := range w.keepers {
		lag := time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))
		w.running.Go(func() { k.learn(next, lag) })
	}
	return v
}

// learn has a keeper hear of a committed state.
func (k *modelKeeper) learn(s *controlstate.State, lag time.Duration) {
	time.Sleep(lag)
	k.wait(func() time.Time { return later(k.frozen, k.cut) })
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Seq > k.known.Seq {
		k.known = s
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait waits until a time that the keeper's faults set.
func (k *modelKeeper) wait(until func() time.Time) {
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

// thawed waits while the keeper stands still.
func (k *modelKeeper) thawed() { k.wait(func() time.Time { return k.frozen }) }

func (k *modelKeeper) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.cut)
}

func (k *modelKeeper) current() *controlstate.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known
}

func (k *modelKeeper) stalled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.untrusted)
}

func (k *modelKeeper) lifeNow() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.life
}

// Submit implements Chain: the change goes to the head, perhaps late, never or twice, and so does the answer come back.
func (k *modelKeeper) Submit(ctx context.Context, c controlstate.Change) (controlstate.Verdict, error) {
	k.thawed()
	if k.modelWorld.hooks.localVerdict {
		if v := k.current().Check(c); v.Kind == controlstate.Stale || v.Kind == controlstate.Invalid {
			return v, nil
		}
	}
	answers := make(chan controlstate.Verdict, 1)
	k.running.Go(func() {
		if k.chance(40, "change lost") || k.isCut() && k.chance(2, "change lost by a cut") {
			return
		}
		time.Sleep(k.between(500*time.Microsecond, 5*time.Millisecond))
		if k.chance(15, "change held up") {
			time.Sleep(k.between(time.Second, 22*time.Second))
		}
		k.wait(func() time.Time { return k.cut })
		v := k.take(c)
		if k.chance(30, "change taken up twice") {
			k.running.Go(func() {
				time.Sleep(k.between(0, 20*time.Second))
				k.take(c)
			})
		}
		if k.chance(20, "verdict lost") {
			return
		}
		time.Sleep(k.between(500*time.Microsecond, 5*time.Millisecond))
		k.thawed()
		answers <- v
	})
	defer k.thawed()
	select {
	case v := <-answers:
		return v, nil
	case <-ctx.Done():
		return controlstate.Verdict{}, ctx.Err()
	}
}

// Read implements Chain.
func (k *modelKeeper) Read(ctx context.Context) (*controlstate.State, error) {
	defer k.thawed()
	k.thawed()
	time.Sleep(k.between(2*time.Millisecond, 5*time.Millisecond))
	if k.chance(6, "slow round") {
		time.Sleep(k.between(50*time.Millisecond, 600*time.Millisecond))
	}
	if k.isCut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	k.modelWorld.mu.Lock()
	s := k.state
	k.modelWorld.mu.Unlock()
	time.Sleep(k.between(2*time.Millisecond, 5*time.Millisecond))
	k.learn(s, 0) // a read waits until the keeper holds what it answers
	return s, nil
}

// trouble freezes, cuts off and kills keepers until ctx ends.
func (w *modelWorld) trouble(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(w.between(200*time.Millisecond, 4*time.Second))
		k := w.keepers[w.between(0, time.Duration(len(w.keepers)))]
		span := w.between(500*time.Millisecond, 20*time.Second)
		switch w.between(0, 3) {
		case 0:
			w.count("freeze")
			k.mu.Lock()
			k.frozen = later(k.frozen, time.Now().Add(span))
			k.untrusted = k.frozen.Add(stallCooldown)
			k.mu.Unlock()
		case 1:
			w.count("cut")
			k.mu.Lock()
			k.cut = later(k.cut, time.Now().Add(span))
			k.mu.Unlock()
		case 2:
			w.count("kill")
			k.mu.Lock()
			k.kill()
			k.life, k.kill = context.WithCancel(context.Background())
			k.frozen = time.Time{}
			k.mu.Unlock()
		}
	}
	for _, k := range w.keepers {
		k.mu.Lock()
		k.kill()
		k.life, k.kill = context.WithCancel(context.Background())
		k.frozen, k.cut = time.Time{}, time.Time{}
		k.mu.Unlock()
	}
}
