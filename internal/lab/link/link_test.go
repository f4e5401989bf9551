package link

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair is a connection over a link, from the i-th near end.
func pair(t *testing.T, l *Link, i int) (near *net.TCPConn, far *Conn) {
	t.Helper()
	at, err := Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	defer at.Close()
	c, err := net.DialTCP("tcp4", nil, &net.TCPAddr{IP: Near(i).AsSlice(), Port: at.Port()})
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := at.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	if got := at.Near(accepted); got != i {
		t.Errorf("the call came from %d, want %d", got, i)
	}
	far = Wrap(accepted, l)
	t.Cleanup(func() {
		c.Close()
		far.Reset()
		far.wait.Wait()
	})
	return c, far
}

func send(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, r io.Reader, text string) {
	t.Helper()
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(r, buf); err != nil || string(buf) != text {
		t.Fatalf("read %q, %v, want %q", buf, err, text)
	}
}

// TestPlain passes bytes both ways, and tells when the near end hung up.
func TestPlain(t *testing.T) {
	near, far := pair(t, New(), 777)
	before := clock.Now()
	send(t, near, "ask")
	want(t, far, "ask")
	if at := far.ReceivedAt(); at < before || at > clock.Now() {
		t.Errorf("came at %d", at)
	}
	send(t, far, "answer")
	want(t, near, "answer")
	near.Close()
	<-far.PeerClosed()
	if _, err := far.Read(make([]byte, 1)); err != io.EOF || far.PeerClosedAt() < before {
		t.Errorf("%v at %d after the near end hung up", err, far.PeerClosedAt())
	}
}

// TestHold keeps one direction back while the other passes; what was kept arrives when the hold ends.
func TestHold(t *testing.T) {
	l := New()
	near, far := pair(t, l, 1)
	l.Set(State{Hold: [2]bool{ToFar: true}})
	send(t, near, "held")
	send(t, far, "passes")
	want(t, near, "passes")
	got := make(chan string)
	go func() {
		buf := make([]byte, 4)
		_, err := io.ReadFull(far, buf)
		got <- string(buf) + errText(err)
	}()
	select {
	case text := <-got:
		t.Fatalf("%q crossed a held link", text)
	case <-time.After(50 * time.Millisecond): // only a fault shows sooner
	}
	l.Set(State{Hold: [2]bool{ToNear: true}})
	if text := <-got; text != "held" {
		t.Errorf("%q after the hold", text)
	}
	send(t, far, "late")
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v from a held link", err)
	}
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	l.Set(State{})
	want(t, near, "late")
	if _, ok := far.WaitFlushed(); !ok {
		t.Error("not flushed")
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// TestHungUpUnseen has the near end hang up on a held link: the moment is known, and the end is not seen yet.
func TestHungUpUnseen(t *testing.T) {
	l := New()
	near, far := pair(t, l, 2)
	l.Set(State{Hold: [2]bool{true, true}})
	near.Close()
	<-far.PeerClosed()
	read := make(chan error)
	go func() {
		_, err := far.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		t.Fatalf("%v crossed a held link", err)
	case <-time.After(50 * time.Millisecond):
	}
	l.Set(State{})
	if err := <-read; err != io.EOF {
		t.Errorf("%v, want the end", err)
	}
}

// TestResetAfterHangUp has a near end hang up on a held link: the far end, which cannot see that, ends with a reset all the same.
func TestResetAfterHangUp(t *testing.T) {
	l := New()
	near, far := pair(t, l, 0)
	l.Set(State{Hold: [2]bool{true, true}})
	near.Close()
	<-far.PeerClosed()
	ended := make(chan error, 1)
	go func() {
		_, err := far.Read(make([]byte, 1))
		ended <- err
	}()
	l.Reset()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("it read what was never sent")
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the far end still waits")
	}
}

// TestDelay has bytes arrive no sooner than the delay, and a slow link pass them at its rate.
func TestDelay(t *testing.T) {
	l := New()
	near, far := pair(t, l, 3)
	l.Set(State{Delay: 60 * time.Millisecond, Jitter: 10 * time.Millisecond})
	began := time.Now()
	send(t, near, "a")
	want(t, far, "a")
	send(t, far, "b")
	want(t, near, "b")
	if took := time.Since(began); took < 120*time.Millisecond {
		t.Errorf("there and back in %v", took)
	}
	l.Set(State{Rate: 1000})
	began = time.Now()
	send(t, near, string(make([]byte, 200)))
	want(t, far, string(make([]byte, 200)))
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("200 bytes at 1000 a second in %v", took)
	}
}

// TestResetAndForget tells the two apart: after a reset the near end knows, after the far end forgot it does not.
func TestResetAndForget(t *testing.T) {
	l := New()
	near, far := pair(t, l, 4)
	if n, left := l.Reset(), l.each(func(*Conn) {}); n != 1 || left != 0 {
		t.Errorf("%d reset, %d left", n, left)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the far end reads on")
	}
	near, far = pair(t, l, 5)
	if n := l.Forget(); n != 1 {
		t.Errorf("%d forgotten", n)
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the far end reads on")
	}
	far.Close()
	send(t, near, "anybody?")
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, want silence", err)
	}
}

// TestCut has calls never come up, and then again as before.
func TestCut(t *testing.T) {
	at, err := Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	came := make(chan int, 10)
	go func() {
		defer close(ended)
		for {
			c, near, err := at.Accept(stop)
			if err != nil {
				return
			}
			came <- near
			c.Close()
		}
	}()
	defer func() {
		close(stop)
		at.Close()
		<-ended
	}()
	dial := func(i int) error {
		address := net.JoinHostPort(Near(i).String(), strconv.Itoa(at.Port()))
		c, err := net.DialTimeout("tcp4", address, 300*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return err
	}
	for range 3 {
		if err := at.SetPartitioned(true); err != nil {
			t.Fatal(err)
		}
		for _, i := range []int{3, 251} {
			var timeout net.Error
			if err := dial(i); !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("a call from %d that is cut off: %v", i, err)
			}
		}
		if err := at.SetPartitioned(false); err != nil {
			t.Fatal(err)
		}
		if err := dial(9); err != nil {
			t.Errorf("after the cut: %v", err)
		}
		for near := -1; near != 9; near = <-came {
		}
	}
}

// TestReserve has a place be refused to callers and to others while nobody listens, and open to its owner.
func TestReserve(t *testing.T) {
	for _, a := range []netip.Addr{Anywhere, Near(5)} {
		p, err := Reserve(a)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		for range 2 { // an owner comes and goes
			to := net.JoinHostPort(Near(5).String(), strconv.Itoa(int(p.Addr.Port())))
			if _, err := net.Dial("tcp4", to); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("a call to %v: %v, want it refused", p.Addr, err)
			}
			open := func() (io.Closer, error) { return net.Listen("tcp4", p.Addr.String()) }
			if a == Anywhere {
				open = func() (io.Closer, error) { return Listen(int(p.Addr.Port())) }
			}
			l, err := open()
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp4", to)
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
			l.Close()
		}
	}
	p, err := Reserve(Anywhere)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for range 2000 {
		other, err := Reserve(Anywhere)
		if err != nil {
			t.Fatal(err)
		}
		if other.Addr.Port() == p.Addr.Port() {
			t.Fatalf("port %d was given twice", p.Addr.Port())
		}
		other.Close()
	}
}
