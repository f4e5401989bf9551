package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const maxBufferedBytes = 256 << 10 // bytes of one direction that a connection keeps back; then the sender waits

// pipe buffers one direction of a connection until its bytes are due and the link lets them pass. One goroutine writes and one reads.
type pipe struct {
	mu             sync.Mutex
	chunks         []chunk
	bufferedBytes  int
	err            error         // that read returns: io.EOF after all chunks, another one at once
	filled         chan struct{} // has a token after a write or the end
	emptied        chan struct{} // has a token after a read or the end
	lastReceivedAt int64         // of the bytes that were read last, ns of the lab's clock
	writing        bool          // bytes were read that the reader may not have passed on yet
}

// chunk is what one read of a socket returned. Times are ns of the lab's clock.
type chunk struct {
	data       []byte
	receivedAt int64
	dueAt      int64
}

// init makes the pipe ready for use.
func (p *pipe) init() { p.filled, p.emptied = make(chan struct{}, 1), make(chan struct{}, 1) }

// signal leaves a token in a channel of capacity 1 unless there is one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write buffers a copy of data, due no sooner than what was written before. It waits while the pipe is full, and returns false when
// done is closed first. A pipe that failed drops data.
func (p *pipe) write(data []byte, receivedAt, dueAt int64, done <-chan struct{}) bool {
	for {
		p.mu.Lock()
		if p.failed() {
			p.mu.Unlock()
			return true // dropped: nobody reads it
		}
		if p.bufferedBytes < maxBufferedBytes {
			if n := len(p.chunks); n > 0 {
				dueAt = max(dueAt, p.chunks[n-1].dueAt)
			}
			p.chunks = append(p.chunks, chunk{append([]byte(nil), data...), receivedAt, dueAt})
			p.bufferedBytes += len(data)
			p.mu.Unlock()
			signal(p.filled)
			return true
		}
		p.mu.Unlock()
		select {
		case <-p.emptied:
		case <-done:
			return false
		}
	}
}

// closeWithError ends the pipe: with io.EOF after what is buffered, with another error at once.
func (p *pipe) closeWithError(err error) {
	p.mu.Lock()
	endOfStream := errors.Is(err, io.EOF)
	if p.err == nil || !endOfStream {
		p.err = err
	}
	if !endOfStream {
		p.chunks, p.bufferedBytes = nil, 0
	}
	p.mu.Unlock()
	signal(p.filled)
	signal(p.emptied)
}

// receivedAt is when the bytes that were read last had come from the near end.
func (p *pipe) receivedAt() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReceivedAt
}

// read takes bytes that are due and that the link lets pass, and waits until there are some. It fails with the error that ended the
// pipe, or with net.ErrClosed once done is closed.
func (p *pipe) read(buf []byte, link *Link, direction Direction, done <-chan struct{}) (int, error) {
	for {
		state, changed := link.State()
		taken := p.take(buf, state, direction)
		live := true
		switch taken.status {
		case pipeEnded:
			return 0, taken.err
		case pipeEmpty:
			signal(p.emptied)
			live = wait(p.filled, nil, done)
		case pipeBlocked:
			live = wait(p.filled, changed, done)
		case pipeNotDue:
			live = sleep(taken.untilDue, done)
		case pipeTaken:
			signal(p.emptied)
			if state.Rate > 0 && !sleep(time.Duration(taken.bytes)*time.Second/time.Duration(state.Rate), done) {
				return 0, net.ErrClosed
			}
			return taken.bytes, nil
		}
		if !live {
			return 0, net.ErrClosed
		}
	}
}

// pipeStatus is what a reader of a pipe finds.
type pipeStatus int

const (
	pipeEmpty   pipeStatus = iota // nothing is buffered
	pipeBlocked                   // the link lets nothing pass in this direction
	pipeNotDue                    // the first bytes are still on their way
	pipeEnded                     // nothing is buffered, and nothing will come
	pipeTaken                     // bytes were taken
)

// takeResult is what one look at a pipe gave.
type takeResult struct {
	status   pipeStatus
	bytes    int           // of pipeTaken
	untilDue time.Duration // of pipeNotDue
	err      error         // of pipeEnded
}

// take moves bytes that may pass now into buf. It does not wait.
func (p *pipe) take(buf []byte, state State, direction Direction) takeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = false
	switch {
	case len(p.chunks) == 0 && p.err == nil:
		return takeResult{status: pipeEmpty}
	case state.Hold[direction] && !p.failed():
		return takeResult{status: pipeBlocked}
	case len(p.chunks) == 0:
		return takeResult{status: pipeEnded, err: p.err}
	}
	first := &p.chunks[0]
	if untilDue := clock.Until(first.dueAt); untilDue > 0 {
		return takeResult{status: pipeNotDue, untilDue: untilDue}
	}
	if state.Rate > 0 {
		buf = buf[:min(len(buf), max(1, state.Rate/slicesPerSecond))]
	}
	bytes := copy(buf, first.data)
	p.lastReceivedAt, p.writing = first.receivedAt, true
	if first.data = first.data[bytes:]; len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.bufferedBytes -= bytes
	return takeResult{status: pipeTaken, bytes: bytes}
}

// failed reports whether the pipe ended otherwise than by the end of the stream. The caller has the lock.
func (p *pipe) failed() bool { return p.err != nil && !errors.Is(p.err, io.EOF) }

// wait waits for either of two signals, of which one may be nil. It returns false when done is closed first.
func wait(first, second, done <-chan struct{}) bool {
	select {
	case <-first:
		return true
	case <-second:
		return true
	case <-done:
		return false
	}
}

const slicesPerSecond = 20 // in which a link with a rate passes its bytes

// sleep waits for a time. It returns false when done is closed first.
func sleep(d time.Duration, done <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}

// waitDrained waits until everything was read and passed on. It returns false when stop or peerClosed is closed first.
func (p *pipe) waitDrained(stop, peerClosed <-chan struct{}) bool {
	for {
		p.mu.Lock()
		empty := len(p.chunks) == 0 && !p.writing
		p.mu.Unlock()
		if empty {
			return true
		}
		select {
		case <-p.emptied:
		case <-stop:
			return false
		case <-peerClosed:
			return false
		}
	}
}
