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

// connect returns both ends of a connection over a link, from the near end with an index.
func connect(t *testing.T, link *Link, index int) (near *net.TCPConn, far *Conn) {
	t.Helper()
	listener, err := Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, listener)
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
	far = Wrap(accepted, link)
	t.Cleanup(func() {
		_ = dialed.Close() // a test may have closed it
		far.Reset()
		far.tasks.Wait()
	})
	return dialed, far
}

// writeText writes a text or fails the test.
func writeText(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// expectText reads as many bytes as a text has and compares them with it.
func expectText(t *testing.T, r io.Reader, text string) {
	t.Helper()
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(r, buf); err != nil || string(buf) != text {
		t.Fatalf("read %q, %v, want %q", buf, err, text)
	}
}

// TestPlain passes bytes both ways, and reports when the near end closed.
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
	closeAll(t, near)
	<-far.PeerClosed()
	if _, err := far.Read(make([]byte, 1)); err != io.EOF || far.PeerClosedAt() < before { //nolint:errorlint // io.Reader has to return io.EOF itself
		t.Errorf("%v at %d after the near end hung up", err, far.PeerClosedAt())
	}
}

// TestHold blocks one direction while the other passes; what was sent meanwhile arrives afterwards.
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
		t.Fatalf("%q crossed a blocked link", text)
	case <-time.After(50 * time.Millisecond): // only a defect shows sooner
	}
	link.Set(State{Hold: [2]bool{ToNear: true}})
	if text := <-got; text != "held" {
		t.Errorf("%q after the block", text)
	}
	writeText(t, far, "late")
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v from a blocked link", err)
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

// errText is the text of an error; "": none.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// TestPeerCloseNotVisible closes the near end of a blocked link: the moment is known, and the far end does not read the end yet.
func TestPeerCloseNotVisible(t *testing.T) {
	link := New()
	near, far := connect(t, link, 2)
	link.Set(State{Hold: [2]bool{true, true}})
	closeAll(t, near)
	<-far.PeerClosed()
	read := make(chan error)
	go func() {
		_, err := far.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		t.Fatalf("%v crossed a blocked link", err)
	case <-time.After(50 * time.Millisecond):
	}
	link.Set(State{})
	if err := <-read; err != io.EOF { //nolint:errorlint // io.Reader has to return io.EOF itself
		t.Errorf("%v, want the end", err)
	}
}

// TestResetAfterPeerClose closes the near end of a blocked link: the far end, which cannot see that, ends with a reset all the same.
func TestResetAfterPeerClose(t *testing.T) {
	link := New()
	near, far := connect(t, link, 0)
	link.Set(State{Hold: [2]bool{true, true}})
	closeAll(t, near)
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

// TestDelay delivers bytes no sooner than the delay, and passes them at the rate of a slow link.
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

// TestResetAndForget distinguishes the two: the near end learns of a reset, and not that the far end lost the connection.
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
	closeAll(t, far)
	writeText(t, near, "anybody?")
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, want a time-out", err)
	}
}

// TestPartitionedListener lets no call be established during a partition, and calls as before after it.
func TestPartitionedListener(t *testing.T) {
	listener, callers := acceptCalls(t)
	for range 3 {
		if err := listener.SetPartitioned(true); err != nil {
			t.Fatal(err)
		}
		for _, index := range []int{3, 251} {
			var timeout net.Error
			if err := dialFrom(t, index, listener.Port()); !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("a call from %d during a partition: %v", index, err)
			}
		}
		if err := listener.SetPartitioned(false); err != nil {
			t.Fatal(err)
		}
		if err := dialFrom(t, 9, listener.Port()); err != nil {
			t.Errorf("after the partition: %v", err)
		}
		for <-callers != 9 { // callers of the partition may come first
			continue
		}
	}
}

// acceptCalls accepts and closes calls until the test ends, and hands out the indexes of their near ends.
func acceptCalls(t *testing.T) (*Listener, <-chan int) {
	t.Helper()
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
			_ = conn.Close() // the call was counted
		}
	}()
	t.Cleanup(func() {
		close(stop)
		closeAll(t, listener)
		<-ended
	})
	return listener, callers
}

// dialFrom calls a port from a near end, and closes a connection that is established.
func dialFrom(t *testing.T, index, port int) error {
	t.Helper()
	dialer := net.Dialer{Timeout: 300 * time.Millisecond}
	conn, err := dialer.DialContext(t.Context(), "tcp4", net.JoinHostPort(Near(index).String(), strconv.Itoa(port)))
	if err == nil {
		closeAll(t, conn)
	}
	return err
}

// TestReserve refuses callers at a reserved port while nobody listens, lets its owner listen, and gives it to nobody else.
func TestReserve(t *testing.T) {
	for _, address := range []netip.Addr{Anywhere, Near(5)} {
		reservation := reserve(t, address)
		t.Run(address.String(), func(t *testing.T) {
			for range 2 { // an owner listens, ends and listens again
				testReservation(t, reservation)
			}
		})
	}
	reservation := reserve(t, Anywhere)
	for range 2000 {
		other, err := Reserve(Anywhere)
		if err != nil {
			t.Fatal(err)
		}
		if other.Addr.Port() == reservation.Addr.Port() {
			t.Fatalf("port %d was given twice", reservation.Addr.Port())
		}
		closeAll(t, other)
	}
}

// reserve reserves a port until the test ends.
func reserve(t *testing.T, address netip.Addr) *PortReservation {
	t.Helper()
	reservation, err := Reserve(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(t, reservation) })
	return reservation
}

// testReservation calls a reserved port before and while its owner listens.
func testReservation(t *testing.T, reservation *PortReservation) {
	t.Helper()
	port := int(reservation.Addr.Port())
	if err := dialFrom(t, 5, port); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a call to %v: %v, want it refused", reservation.Addr, err)
	}
	var listener io.Closer
	var err error
	if reservation.Addr.Addr() == Anywhere {
		listener, err = Listen(port)
	} else {
		listener, err = new(net.ListenConfig).Listen(t.Context(), "tcp4", reservation.Addr.String())
	}
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, listener)
	if err := dialFrom(t, 5, port); err != nil {
		t.Fatal(err)
	}
}

// closeAll closes what a test opened.
func closeAll(t *testing.T, closers ...io.Closer) {
	t.Helper()
	for _, closer := range closers {
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
	}
}
