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

// hittersStateKind is the kind of the members' states in which sidecars expect reports of clients' work. If it were another kind by
// now, the control experiment with two lying members would pass without any lie.
const hittersStateKind uint8 = 1

// LyingMember is a Byzantine member of the sidecars' gossip that is no sidecar, until the orders end. As orders say, it publishes
// that clients asked it for work, which nobody did, in the form that sidecars believe and once a window as they do. It returns the
// first error of joining, of reading orders or of publishing.
func LyingMember(orders io.Reader, news io.Writer, options members.Options) (err error) {
	member, err := members.New(options)
	if err != nil {
		return fmt.Errorf("lying member: %w", err)
	}
	if err := member.Start(context.Background()); err != nil {
		return fmt.Errorf("lying member: %w", err)
	}
	liar := &lyingMember{member: member, stop: make(chan struct{})}
	liar.tasks.Add(1)
	go liar.publishReports()
	out := ctl.NewEventWriter(news)
	out.Send(ctl.Event{Kind: ctl.EventReady, At: clock.Now()})
	err = handleOrders(orders, out, func(o ctl.Order, _ *ctl.Event) error { return liar.handleOrder(o) })
	close(liar.stop)
	liar.tasks.Wait()
	member.Close()
	return errors.Join(err, liar.publishErr)
}

// lyingMember is a member and the forged report that it publishes.
type lyingMember struct {
	member     *members.Members
	stop       chan struct{} // closed when the orders end
	tasks      sync.WaitGroup
	publishErr error // set before publishReports ends

	mu     sync.Mutex
	report []byte // nil: nothing is published
}

// handleOrder begins or ends false reports.
func (l *lyingMember) handleOrder(order ctl.Order) error {
	if order.Do != ctl.CommandFalseReports {
		return unknownCommandError(order.Do)
	}
	var report []byte
	if order.On {
		var err error
		if report, err = forgedReport(strings.Split(order.Mode, ","), time.Duration(order.By)); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report = report
	return nil
}

// forgedReport is a report that each of some clients asks for the same share of an amount of work a second, all of which was served.
func forgedReport(clients []string, workPerSecond time.Duration) ([]byte, error) {
	const fullShare = 1<<16 - 1
	report := hitters.Report{Total: uint64(workPerSecond / time.Microsecond), Requests: 1 << 20, Served: fullShare, Err: 1,
		Named: uint8(len(clients))}
	if len(clients) == 0 || len(clients) > len(report.Keys) {
		return nil, fmt.Errorf("%d clients are not 1 to %d", len(clients), len(report.Keys))
	}
	salt := hitters.Key(0, "") // of a fleet without a name
	for i, name := range clients {
		report.Keys[i], report.Shares[i] = hitters.Key(salt, name), fullShare/uint16(len(clients))
	}
	encoded := report.Append(nil)
	decoded, err := hitters.ParseReport(encoded)
	if err != nil {
		return nil, fmt.Errorf("sidecars would reject the forged report: %w", err)
	}
	if !slices.Equal(decoded.Keys[:], report.Keys[:]) {
		return nil, errors.New("sidecars would read other clients in the forged report")
	}
	return encoded, nil
}

// publishReports publishes the current report once a window until stop, or until publishing fails.
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
		report := l.report
		l.mu.Unlock()
		if report == nil {
			continue
		}
		if err := l.member.Publish(hittersStateKind, report); err != nil {
			l.publishErr = err
			return
		}
	}
}
