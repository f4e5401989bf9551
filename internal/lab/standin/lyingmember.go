package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// hittersStateKind is the kind of the states among members in which sidecars take reports of clients' work. Were it another one by now, the
// control with two liars would hold.
const hittersStateKind uint8 = 1

// LyingMember is a member among sidecars that is none of them, until the orders end. As it is told to, it says of clients that they asked it
// for work, which nobody did, in the form that sidecars believe, once a window as they do.
func LyingMember(orders io.Reader, news io.Writer, options members.Options) (err error) {
	member, err := members.New(options)
	if err != nil {
		return fmt.Errorf("liar: %w", err)
	}
	if err := member.Start(context.Background()); err != nil {
		return fmt.Errorf("liar: %w", err)
	}
	liar := &lyingMember{member: member, stop: make(chan struct{})}
	liar.tasks.Add(1)
	go liar.publishReports()
	out := ctl.NewOut(news)
	out.Say(ctl.News{Kind: "ready", At: clock.Now()})
	err = handleOrders(orders, out, func(options ctl.Order, _ *ctl.News) error { return liar.handleOrder(options) })
	close(liar.stop)
	liar.tasks.Wait()
	member.Close()
	return errors.Join(err, liar.publishErr)
}

type lyingMember struct {
	member     *members.Members
	stop       chan struct{}
	tasks      sync.WaitGroup
	publishErr error // of speak, once it has ended

	mu     sync.Mutex
	report []byte // a report; nil: nothing is said
}

func (l *lyingMember) handleOrder(o ctl.Order) error {
	if o.Do != "lie" {
		return fmt.Errorf("unknown order %q", o.Do)
	}
	var says []byte
	if o.On {
		var err error
		if says, err = forgedReport(strings.Split(o.Mode, ","), time.Duration(o.By)); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report = says
	return nil
}

// forgedReport is a report of clients that ask for so much work a second, alike, all of which was served.
func forgedReport(clients []string, work time.Duration) ([]byte, error) {
	const whole = 1<<16 - 1
	r := hitters.Report{Total: uint64(work / time.Microsecond), Requests: 1 << 20, Served: whole, Err: 1, Named: uint8(len(clients))}
	if len(clients) == 0 || len(clients) > len(r.Keys) {
		return nil, fmt.Errorf("%d clients are not 1 to %d", len(clients), len(r.Keys))
	}
	salt := hitters.Key(0, "") // of a fleet that names none
	for i, name := range clients {
		r.Keys[i], r.Shares[i] = hitters.Key(salt, name), whole/uint16(len(clients))
	}
	text := r.Append(nil)
	if back, err := hitters.ParseReport(text); err != nil || !slices.Equal(back.Keys[:], r.Keys[:]) {
		return nil, fmt.Errorf("nobody would believe it: %w", err)
	}
	return text, nil
}

// publishReports tells the members what there is to say until stop.
func (l *lyingMember) publishReports() {
	defer l.tasks.Done()
	tick := time.NewTicker(hitters.Defaults().Window)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-l.stop:
			return
		}
		l.mu.Lock()
		says := l.report
		l.mu.Unlock()
		if says == nil {
			continue
		}
		if err := l.member.Publish(hittersStateKind, says); err != nil {
			l.publishErr = err
			return
		}
	}
}
