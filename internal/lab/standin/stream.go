package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const (
	relayDialTimeout  = time.Second
	firstRequestBytes = 16 << 10 // read before the far end is dialled
)

// forwardStream copies bytes to an address and has copyBack copy what comes from there, until either end closes. copyBack gets the
// first bytes of the near end as well. onSent, if set, is called with the number of bytes that went to the address.
func forwardStream(near *link.Conn, address string, onSent func(int64), copyBack func(far net.Conn, first string)) {
	defer func() { _ = near.Close() }() // both ends may have closed already
	// Danger: a call that the network holds back must not arrive at the far end either, or it would show there. So the far end
	// is dialled after the first bytes came.
	first := make([]byte, firstRequestBytes)
	firstLen, err := near.Read(first)
	if err != nil {
		return
	}
	far, err := (&net.Dialer{Timeout: relayDialTimeout}).DialContext(context.Background(), "tcp4", address)
	if err != nil {
		near.Reset()
		return
	}
	defer func() { _ = far.Close() }()
	var forth sync.WaitGroup
	forth.Add(1)
	go func() {
		defer forth.Done()
		sent := int64(firstLen)
		if _, err := far.Write(first[:firstLen]); err == nil {
			sent += copyBytes(far, near)
		}
		if onSent != nil {
			onSent(sent)
		}
		_ = far.Close() // ends copyBack
	}()
	copyBack(far, string(first[:firstLen]))
	_ = near.Close() // ends the copying forth
	forth.Wait()
}

// copyBytes copies until either end closes, which shows at the other end, and returns the number of bytes. Danger: the connections'
// own ReadFrom and WriteTo would bypass the link.
func copyBytes(to io.Writer, from io.Reader) int64 {
	n, _ := io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	return n
}
