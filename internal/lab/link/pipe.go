package link

import (
	"io"
	"net"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const maxBufferedBytes = 256 << 10 // bytes of one direction that a connection keeps back; then the sender waits

// pipe is one direction of a connection: bytes kept back until they are due and the link lets them pass.
type pipe struct {
	mu             sync.Mutex
	chunks         []chunk
	bufferedBytes  int
	err            error         // after all chunks
	filled         chan struct{} // a token: something came
	emptied        chan struct{} // a token: something went
	lastReceivedAt int64         // of the last bytes gotten
	writing        bool          // a chunk was gotten and may not be written yet
}

type chunk struct {
	data       []byte
	receivedAt int64
	dueAt      int64
}

func (p *pipe) init() { p.filled, p.emptied = make(chan struct{}, 1), make(chan struct{}, 1) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write keeps a copy of data back. It waits while the pipe is full, and tells false when dead ends that.
func (p *pipe) write(data []byte, receivedAt, dueAt int64, done <-chan struct{}) bool {
	for {
		p.mu.Lock()
		if p.err != nil && p.err != io.EOF {
			p.mu.Unlock()
			return true // nobody wants it
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

// closeWithError ends the pipe: with io.EOF after what it holds, else at once.
func (p *pipe) closeWithError(err error) {
	p.mu.Lock()
	if p.err == nil || err != io.EOF {
		p.err = err
	}
	if err != io.EOF {
		p.chunks, p.bufferedBytes = nil, 0
	}
	p.mu.Unlock()
	signal(p.filled)
	signal(p.emptied)
}

func (p *pipe) receivedAt() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReceivedAt
}

// read takes what is due and allowed, and waits for it.
func (p *pipe) read(buf []byte, link *Link, direction Direction, done <-chan struct{}) (int, error) {
	for {
		state, changed := link.State()
		p.mu.Lock()
		p.writing = false
		if len(p.chunks) == 0 && p.err == nil {
			p.mu.Unlock()
			signal(p.emptied)
			select {
			case <-p.filled:
				continue
			case <-done:
				return 0, net.ErrClosed
			}
		}
		if state.Hold[direction] && (p.err == nil || p.err == io.EOF) {
			p.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-p.filled:
				continue
			case <-done:
				return 0, net.ErrClosed
			}
		}
		if len(p.chunks) == 0 {
			err := p.err
			p.mu.Unlock()
			return 0, err
		}
		first := &p.chunks[0]
		if left := clock.Until(first.dueAt); left > 0 {
			p.mu.Unlock()
			if !sleep(left, done) {
				return 0, net.ErrClosed
			}
			continue
		}
		if state.Rate > 0 {
			buf = buf[:min(len(buf), max(1, state.Rate/slicesPerSecond))]
		}
		n := copy(buf, first.data)
		p.lastReceivedAt, p.writing = first.receivedAt, true
		if first.data = first.data[n:]; len(first.data) == 0 {
			p.chunks = p.chunks[1:]
		}
		p.bufferedBytes -= n
		p.mu.Unlock()
		signal(p.emptied)
		if state.Rate > 0 && !sleep(time.Duration(n)*time.Second/time.Duration(state.Rate), done) {
			return 0, net.ErrClosed
		}
		return n, nil
	}
}

const slicesPerSecond = 20 // pieces a second in which a slow link passes bytes

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

// waitDrained waits until nothing is kept back. It tells false when stop or gone ends that.
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
