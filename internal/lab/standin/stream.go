package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const relayDialTimeout = time.Second

// forwardStream passes bytes on to an address, and has back pass on what comes from there, until either end is through. sent, if set,
// is told how many bytes went there.
func forwardStream(near *link.Conn, to string, sent func(int64), back func(far net.Conn, first string)) {
	defer near.Close()
	// Danger: a call that the network holds back must not come up at the far end either, or it would show there.
	first := make([]byte, 16<<10)
	n, err := near.Read(first)
	if err != nil {
		return
	}
	far, err := net.DialTimeout("tcp4", to, relayDialTimeout)
	if err != nil {
		near.Reset()
		return
	}
	defer far.Close()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		all := int64(n)
		if _, err := far.Write(first[:n]); err == nil {
			all += copyBytes(far, near)
		}
		if sent != nil {
			sent(all)
		}
		far.Close() // which ends the other way
	}()
	back(far, string(first[:n]))
	near.Close() // which ends the first way
	both.Wait()
}

// copyBytes copies until either end is through, which shows at the other end. Danger: the connections' own shorter ways of copying
// would lead past the link.
func copyBytes(to io.Writer, from io.Reader) int64 {
	n, _ := io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	return n
}
