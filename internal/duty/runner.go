package duty

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/client"
	"gradeusher.example/gradeusher/internal/state"
)

// Now is the time since the machine started, its sleep counted.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(1<<63 - 1) // no clock: no office lasts
	}
	return time.Duration(t.Nano())
}

// Work is done in an office. ctx ends at the latest when the office does; once Asked is closed it should finish its step and
// return. nil: the work is done for good, and this process does not wait for the duty again; ErrGaveUp: nor does it then, and it
// failed; ErrAgain: it waits again; any other error is a failure, and it waits again, after pauses that grow.
type Work func(ctx context.Context, t *Tenure) error

// Why an office ends.
var (
	ErrAgain  = errors.New("handed over")
	ErrGaveUp = errors.New("given up")
	ErrLost   = errors.New("the office is lost")
)

// Options say what a process is to others that want the same duties.
type Options struct {
	Keepers []string
	Name    string        // of the process, the same over its runs
	Room    string        // where it runs
	Lease   time.Duration // that it asks for
	Load    int64         // what it carries besides, in duties
	Log     *slog.Logger
}

// Runner holds duties for a process.
type Runner struct {
	o      Options
	who    string
	client *client.Client
	poke   chan struct{} // something may have changed: renew now
	calls  chan struct{} // the wanted duties that miss may have changed
	tasks  sync.WaitGroup

	mu     sync.Mutex
	holder *Holder
	wanted map[string]*want
	ending bool
}

// want is a duty that this process wants.
type want struct {
	at     string
	work   Work
	tenure *Tenure // it is in office, or its work has not returned yet
	done   chan struct{}
	missed bool // it neither holds nor waits
}

// NewRunner is a process that wants nothing yet.
func NewRunner(o Options) (*Runner, error) {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails (crypto/rand)
	r := &Runner{o: o, who: o.Name + "#" + hex.EncodeToString(id[:]), holder: NewHolder(nil), wanted: map[string]*want{}, poke: make(chan struct{}, 1), calls: make(chan struct{}, 1)}
	if err := state.CheckWho(r.who); err != nil {
		return nil, err
	}
	if o.Lease < state.LeastDutyLease || o.Lease > state.MostDutyLease {
		return nil, fmt.Errorf("a lease of %v is not within %v to %v", o.Lease, state.LeastDutyLease, state.MostDutyLease)
	}
	c, err := client.New(o.Keepers)
	if err != nil {
		return nil, err
	}
	r.client = c
	return r, nil
}

// Who is this run of the process.
func (r *Runner) Who() string { return r.who }

// Want has the process wait for a duty and do a work whenever it holds it, from before Run. at is the room where it should be
// held, which the first says who wants it. done is closed once the work is done for good.
func (r *Runner) Want(name, at string, work Work) (done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &want{at: at, work: work, done: make(chan struct{}), missed: true}
	r.wanted[name] = w
	return w.done
}

// Run holds duties until ctx is done. Then works are asked to finish their steps, which may take up to drain, and what is held is
// released, and what is waited for is given up.
func (r *Runner) Run(ctx context.Context, drain time.Duration) {
	defer r.client.Close()
	on, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, do := range []func(context.Context){r.renew, r.campaign, r.follow} {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			do(on)
		}()
	}
	<-ctx.Done()
	r.mu.Lock()
	r.ending = true
	var busy []*Tenure
	for _, w := range r.wanted {
		if w.tenure != nil {
			w.tenure.ask()
			busy = append(busy, w.tenure)
		}
	}
	r.mu.Unlock()
	late := time.NewTimer(drain)
	defer late.Stop()
	for _, t := range busy {
		select {
		case <-t.over:
		case <-late.C:
			for _, t := range busy {
				t.cancel(ErrLost)
			}
			<-t.over
		}
	}
	stop()
	r.tasks.Wait()
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.o.Lease/2)
	defer cancel()
	for name, w := range r.wanted {
		if !w.missed {
			_, _ = r.client.ChangeDuty(leave, client.Withdraw, name, client.DutyCall{Who: r.who}) // or it falls out of line by its silence
		}
	}
}

func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// follow renews at once where a watch tells of something that this process does not know.
func (r *Runner) follow(ctx context.Context) {
	err := client.FollowDuties(ctx, r.o.Keepers, r.who, r.o.Log, func(client.DutyNews) { nudge(r.poke) })
	if err != nil {
		r.o.Log.Error("duties", "err", err)
	}
}

// renew renews four times in a lease, and when it is poked.
func (r *Runner) renew(ctx context.Context) {
	every := r.o.Lease / 4
	for {
		// Drawn, so that processes that came together do not renew together for good.
		timer := time.NewTimer(every*3/4 + mrand.N(every/4+1))
		select {
		case <-timer.C:
		case <-r.poke:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		call, cancel := context.WithTimeout(ctx, max(every, state.LeastDutyLease/2))
		sent := Now()
		a, err := r.client.RenewDuties(call, r.who)
		cancel()
		if err != nil {
			r.o.Log.Debug("duties", "err", err)
			continue
		}
		r.take(ctx, sent, a)
	}
}

// take takes the answer to a renewal, begins works, and sees what is missing.
func (r *Runner) take(ctx context.Context, sent Instant, a client.DutyRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	begin, let := r.holder.Renewed(sent, Now(), a.Holds)
	known := map[string]bool{}
	for _, name := range a.Waits {
		known[name] = true
	}
	for _, d := range a.Holds {
		known[d.Name] = true
		if w := r.wanted[d.Name]; w != nil && w.tenure != nil && w.tenure.Epoch == d.Epoch && d.Asked {
			w.tenure.ask()
		}
	}
	for _, o := range let {
		if w := r.wanted[o.Name]; w == nil || w.tenure == nil || w.tenure.hangs() { // else it is released when its work has returned
			q := client.DutyCall{Again: w != nil && !r.ending}
			r.tasks.Add(1)
			go func() {
				defer r.tasks.Done()
				r.release(ctx, o, q)
			}()
		}
	}
	for _, o := range begin {
		w := r.wanted[o.Name]
		if w == nil || w.tenure != nil || r.ending { // the work of an office that was lost goes on: not beside it
			r.holder.Let(o.Name, o.Epoch)
			nudge(r.poke)
			continue
		}
		t := &Tenure{Office: o, runner: r, asked: make(chan struct{}), over: make(chan struct{})}
		w.tenure = t
		if o.Asked {
			t.ask()
		}
		r.o.Log.Info("duty held", "name", o.Name, "epoch", o.Epoch)
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.serve(ctx, w, t)
		}()
	}
	for name, w := range r.wanted {
		if w.missed = !known[name]; w.missed {
			nudge(r.calls)
		}
	}
}

// campaign has this process wait for the duties that it wants and neither holds nor waits for.
func (r *Runner) campaign(ctx context.Context) {
	first := true
	for {
		if !first {
			select {
			case <-r.calls:
			case <-ctx.Done():
				return
			}
			// Many may have fallen out of line at once, as when keepers come back.
			timer := time.NewTimer(mrand.N(r.o.Lease / 8))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		first = false
		type one struct{ name, at string }
		var all []one
		r.mu.Lock()
		for name, w := range r.wanted {
			if w.missed && !r.ending && w.tenure == nil {
				all = append(all, one{name, w.at})
			}
		}
		r.mu.Unlock()
		slices.SortFunc(all, func(a, b one) int { return mrand.IntN(3) - 1 }) // two who come together share what is free
		for _, d := range all {
			call, cancel := context.WithTimeout(ctx, max(r.o.Lease, 3*time.Second))
			_, err := r.client.ChangeDuty(call, client.Campaign, d.name, client.DutyCall{Who: r.who, Room: r.o.Room, At: d.at, Load: r.o.Load, TTLMS: r.o.Lease.Milliseconds()})
			cancel()
			if err != nil && ctx.Err() == nil {
				r.o.Log.Warn("campaign", "name", d.name, "err", err) // the next renewal shows that it is missing
			}
			nudge(r.poke)
		}
	}
}

// serve does the work of an office, and releases it.
func (r *Runner) serve(ctx context.Context, w *want, t *Tenure) {
	work, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	t.stop = cancel
	t.mu.Unlock()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		t.watch(work)
	}()
	err := w.work(work, t)
	lost := !t.May()
	cancel(ErrLost)
	<-watched
	final := t.final()
	ends := err == nil || errors.Is(err, ErrGaveUp)
	q := client.DutyCall{Again: !ends, Failed: err != nil && !errors.Is(err, ErrAgain) && !lost}
	if final != nil {
		q.Step, q.StepNo = *final, &t.StepNo
	}
	r.mu.Lock()
	if r.ending {
		q.Again = false
	}
	r.holder.Let(t.Name, t.Epoch)
	if ends {
		delete(r.wanted, t.Name)
	}
	r.mu.Unlock()
	r.o.Log.Info("duty let go", "name", t.Name, "epoch", t.Epoch, "err", err)
	r.release(context.WithoutCancel(ctx), t.Office, q)
	r.mu.Lock()
	w.tenure = nil
	r.mu.Unlock()
	if ends {
		close(w.done)
	}
	close(t.over)
	nudge(r.poke)
}

// release lets go of an office. Where it cannot be said, the office ends with its lease.
func (r *Runner) release(ctx context.Context, o Office, q client.DutyCall) {
	call, cancel := context.WithTimeout(ctx, r.o.Lease)
	defer cancel()
	q.Who, q.Epoch = r.who, o.Epoch
	_, err := r.client.ChangeDuty(call, client.Release, o.Name, q)
	var refused *client.Refused
	if err != nil && !(errors.As(err, &refused) && refused.Status == http.StatusConflict) { // it is not ours any more
		r.o.Log.Warn("release", "name", o.Name, "epoch", o.Epoch, "err", err)
	}
}

// Tenure is an office with its work.
type Tenure struct {
	Office
	runner *Runner
	asked  chan struct{}
	over   chan struct{} // its work has returned and it is released

	mu    sync.Mutex
	stop  context.CancelCauseFunc
	isEnd bool
	lost  Instant // it was seen that it is
	step  *string
}

// Left is how long the office lasts if it is not renewed; 0: it is over.
func (t *Tenure) Left() time.Duration {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	now := Now()
	o, ok := t.runner.holder.Office(now, t.Name, t.Epoch)
	if !ok {
		return 0
	}
	return o.Until - now
}

// May tells whether an effect may begin now, as far as clocks tell. The effect has to carry the epoch all the same.
func (t *Tenure) May() bool { return t.Left() > 0 }

// Asked is closed when the work should finish its step and return ErrAgain.
func (t *Tenure) Asked() <-chan struct{} { return t.asked }

func (t *Tenure) ask() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isEnd {
		t.isEnd = true
		close(t.asked)
	}
}

// hangs tells that an office was lost for longer than a margin, while its work goes on: it acts no more, or only the fence helps.
// Danger: its process renews other duties, and so this one for good.
func (t *Tenure) hangs() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := Now()
	if t.lost == 0 {
		t.lost = now
	}
	return now-t.lost > state.DutyMargin(t.runner.o.Lease)
}

func (t *Tenure) cancel(why error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop != nil {
		t.stop(why)
	}
}

// Final is recorded as the step with the release of the office.
func (t *Tenure) Final(step string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = &step
}

func (t *Tenure) final() *string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.step
}

// Checkpoint records a step, so that whoever comes next begins there. Only the work calls it. Errors are those of client.ChangeDuty;
// after client.ErrUncertain the work should return, as it cannot know what the next reads.
func (t *Tenure) Checkpoint(ctx context.Context, step string) error {
	no := t.StepNo
	_, err := t.runner.client.ChangeDuty(ctx, client.Checkpoint, t.Name, client.DutyCall{Who: t.runner.who, Epoch: t.Epoch, Step: step, StepNo: &no})
	if err == nil {
		t.StepNo++
		t.Step = step
	}
	return err
}

// watch ends the work when the office does.
func (t *Tenure) watch(work context.Context) {
	for {
		left := t.Left()
		if left <= 0 {
			t.cancel(ErrLost)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-work.Done():
			timer.Stop()
			return
		}
	}
}
