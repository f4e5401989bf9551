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

// connect is a connection over a link, from the i-th near end.
func connect(t *testing.T, l *Link, index int) (near *net.TCPConn, far *Conn) {
	t.Helper()
	listener, err := Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.DialTCP("tcp4", nil, &net.TCPAddr{IP: Near(index).AsSlice(), Port: listener.Port()})
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	if got := listener.Near(accepted); got != index {
		t.Errorf("the call came from %d, want %d", got, index)
	}
	far = Wrap(accepted, l)
	t.Cleanup(func() {
		dialed.Close()
		far.Reset()
		far.tasks.Wait()
	})
	return dialed, far
}

func writeText(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

func expectText(t *testing.T, r io.Reader, text string) {
	t.Helper()
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(r, buf); err != nil || string(buf) != text {
		t.Fatalf("read %q, %v, want %q", buf, err, text)
	}
}

// TestPlain passes bytes both ways, and tells when the near end hung up.
func TestPlain(t *testing.T) {
	near, far := connect(t, New(), 777)
	before := clock.Now()
	writeText(t, near, "ask")
	expectText(t, far, "ask")
	if at := far.ReceivedAt(); at < before || at > clock.Now() {
		t.Errorf("came at %d", at)
	}
	writeText(t, far, "answer")
	expectText(t, near, "answer")
	near.Close()
	<-far.PeerClosed()
	if _, err := far.Read(make([]byte, 1)); err != io.EOF || far.PeerClosedAt() < before {
		t.Errorf("%v at %d after the near end hung up", err, far.PeerClosedAt())
	}
}

// TestHold keeps one direction back while the other passes; what was kept arrives when the hold ends.
func TestHold(t *testing.T) {
	link := New()
	near, far := connect(t, link, 1)
	link.Set(State{Hold: [2]bool{ToFar: true}})
	writeText(t, near, "held")
	writeText(t, far, "passes")
	expectText(t, near, "passes")
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
	link.Set(State{Hold: [2]bool{ToNear: true}})
	if text := <-got; text != "held" {
		t.Errorf("%q after the hold", text)
	}
	writeText(t, far, "late")
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v from a held link", err)
	}
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	link.Set(State{})
	expectText(t, near, "late")
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
	link := New()
	near, far := connect(t, link, 2)
	link.Set(State{Hold: [2]bool{true, true}})
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
	link.Set(State{})
	if err := <-read; err != io.EOF {
		t.Errorf("%v, want the end", err)
	}
}

// TestResetAfterHangUp has a near end hang up on a held link: the far end, which cannot see that, ends with a reset all the same.
func TestResetAfterHangUp(t *testing.T) {
	link := New()
	near, far := connect(t, link, 0)
	link.Set(State{Hold: [2]bool{true, true}})
	near.Close()
	<-far.PeerClosed()
	ended := make(chan error, 1)
	go func() {
		_, err := far.Read(make([]byte, 1))
		ended <- err
	}()
	link.Reset()
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
	link := New()
	near, far := connect(t, link, 3)
	link.Set(State{Delay: 60 * time.Millisecond, Jitter: 10 * time.Millisecond})
	began := time.Now()
	writeText(t, near, "a")
	expectText(t, far, "a")
	writeText(t, far, "b")
	expectText(t, near, "b")
	if took := time.Since(began); took < 120*time.Millisecond {
		t.Errorf("there and back in %v", took)
	}
	link.Set(State{Rate: 1000})
	began = time.Now()
	writeText(t, near, string(make([]byte, 200)))
	expectText(t, far, string(make([]byte, 200)))
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("200 bytes at 1000 a second in %v", took)
	}
}

// TestResetAndForget tells the two apart: after a reset the near end knows, after the far end forgot it does not.
func TestResetAndForget(t *testing.T) {
	link := New()
	near, far := connect(t, link, 4)
	if n, left := link.Reset(), link.forEach(func(*Conn) {}); n != 1 || left != 0 {
		t.Errorf("%d reset, %d left", n, left)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the far end reads on")
	}
	near, far = connect(t, link, 5)
	if n := link.Forget(); n != 1 {
		t.Errorf("%d forgotten", n)
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the far end reads on")
	}
	far.Close()
	writeText(t, near, "anybody?")
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, want silence", err)
	}
}

// TestPartitionedListener has calls never come up, and then again as before.
func TestPartitionedListener(t *testing.T) {
	listener, err := Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	callers := make(chan int, 10)
	go func() {
		defer close(ended)
		for {
			conn, near, err := listener.Accept(stop)
			if err != nil {
				return
			}
			callers <- near
			conn.Close()
		}
	}()
	defer func() {
		close(stop)
		listener.Close()
		<-ended
	}()
	dial := func(index int) error {
		address := net.JoinHostPort(Near(index).String(), strconv.Itoa(listener.Port()))
		conn, err := net.DialTimeout("tcp4", address, 300*time.Millisecond)
		if err == nil {
			conn.Close()
		}
		return err
	}
	for range 3 {
		if err := listener.SetPartitioned(true); err != nil {
			t.Fatal(err)
		}
		for _, index := range []int{3, 251} {
			var timeout net.Error
			if err := dial(index); !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("a call from %d that is cut off: %v", index, err)
			}
		}
		if err := listener.SetPartitioned(false); err != nil {
			t.Fatal(err)
		}
		if err := dial(9); err != nil {
			t.Errorf("after the cut: %v", err)
		}
		for near := -1; near != 9; near = <-callers {
		}
	}
}

// TestReserve has a place be refused to callers and to others while nobody listens, and open to its owner.
func TestReserve(t *testing.T) {
	for _, address := range []netip.Addr{Anywhere, Near(5)} {
		reservation, err := Reserve(address)
		if err != nil {
			t.Fatal(err)
		}
		defer reservation.Close()
		for range 2 { // an owner comes and goes
			target := net.JoinHostPort(Near(5).String(), strconv.Itoa(int(reservation.Addr.Port())))
			if _, err := net.Dial("tcp4", target); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("a call to %v: %v, want it refused", reservation.Addr, err)
			}
			open := func() (io.Closer, error) { return net.Listen("tcp4", reservation.Addr.String()) }
			if address == Anywhere {
				open = func() (io.Closer, error) { return Listen(int(reservation.Addr.Port())) }
			}
			listener, err := open()
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp4", target)
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
			listener.Close()
		}
	}
	reservation, err := Reserve(Anywhere)
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Close()
	for range 2000 {
		other, err := Reserve(Anywhere)
		if err != nil {
			t.Fatal(err)
		}
		if other.Addr.Port() == reservation.Addr.Port() {
			t.Fatalf("port %d was given twice", reservation.Addr.Port())
		}
		other.Close()
	}
}
