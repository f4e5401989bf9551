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

// toldHitters is the kind of the states among members in which sidecars take reports of clients' work. Were it another one by now, the
// control with two liars would hold.
const toldHitters uint8 = 1

// Liar is a member among sidecars that is none of them, until the orders end. As it is told to, it says of clients that they asked it
// for work, which nobody did, in the form that sidecars believe, once a window as they do.
func Liar(orders io.Reader, news io.Writer, o members.Options) (err error) {
	m, err := members.New(o)
	if err != nil {
		return fmt.Errorf("liar: %w", err)
	}
	if err := m.Start(context.Background()); err != nil {
		return fmt.Errorf("liar: %w", err)
	}
	l := &liar{member: m, stop: make(chan struct{})}
	l.owned.Add(1)
	go l.speak()
	out := ctl.NewEventWriter(news)
	out.Send(ctl.Event{Kind: "ready", At: clock.Now()})
	err = obeyAll(orders, out, func(o ctl.Order, _ *ctl.Event) error { return l.obey(o) })
	close(l.stop)
	l.owned.Wait()
	m.Close()
	return errors.Join(err, l.failed)
}

type liar struct {
	member *members.Members
	stop   chan struct{}
	owned  sync.WaitGroup
	failed error // of speak, once it has ended

	mu   sync.Mutex
	says []byte // a report; nil: nothing is said
}

func (l *liar) obey(o ctl.Order) error {
	if o.Do != "lie" {
		return fmt.Errorf("unknown order %q", o.Do)
	}
	var says []byte
	if o.On {
		var err error
		if says, err = tale(strings.Split(o.Mode, ","), time.Duration(o.By)); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.says = says
	return nil
}

// tale is a report of clients that ask for so much work a second, alike, all of which was served.
func tale(clients []string, work time.Duration) ([]byte, error) {
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

// speak tells the members what there is to say until stop.
func (l *liar) speak() {
	defer l.owned.Done()
	tick := time.NewTicker(hitters.Defaults().Window)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-l.stop:
			return
		}
		l.mu.Lock()
		says := l.says
		l.mu.Unlock()
		if says == nil {
			continue
		}
		if err := l.member.Publish(toldHitters, says); err != nil {
			l.failed = err
			return
		}
	}
}
