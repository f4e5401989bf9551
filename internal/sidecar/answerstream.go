package sidecar

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes   = 16 << 10               // size of the buffer for reading and copying bodies
	bufferTime   = 100 * time.Millisecond // an answer of unknown length is buffered for so long after its head, in case it ends by then
	stallTimeout = 10 * time.Second       // a peer that reads or sends nothing for so long is given up
)

var (
	errAnswerTooLong = errors.New("longer than can be held")
	errIncomplete    = errors.New("the server did not give all of it")
	errClientGone    = errors.New("the client does not take it")
)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// byteBudget bounds the bytes of bodies and answers that are buffered, over all connections.
type byteBudget struct {
	limit atomic.Int64
	used  atomic.Int64
}

func newByteBudget(limit int64) *byteBudget {
	b := &byteBudget{}
	b.limit.Store(limit)
	return b
}

// bufferBudget returns the buffer budget for a memory limit: a quarter of it.
func bufferBudget(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 }

// reserve reserves n more bytes. It reports false, and reserves nothing, if that would exceed the limit.
func (b *byteBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// answerStream is an answer that is being received. It is buffered until it starts, so that it can still be
// discarded. From then on it is forwarded to the client as it arrives, no faster than the client reads it.
type answerStream struct {
	length      int64 // -1: unknown
	contentType string
	budget      *byteBudget
	begin       func(*answerStream) // called once, when the stream starts; nil: the answer must not be streamed
	stop        func()              // cancels the attempt

	mu         sync.Mutex
	changed    sync.Cond
	pending    []byte // received, but not yet passed to the client
	reserved   int    // bytes reserved in budget
	started    bool
	ended      bool        // everything has been received, or err is set
	err        error       // of the server's side
	abandoned  bool        // the client's side has ended
	stallTimer *time.Timer // once started: runs while the server's next bytes are awaited
}

func newAnswerStream(length int64, ctype string, budget *byteBudget, begin func(*answerStream)) *answerStream {
	f := &answerStream{length: length, contentType: ctype, budget: budget, begin: begin}
	if 0 < length && length <= maxBufferedBytes {
		f.pending = make([]byte, 0, length)
	}
	f.changed.L = &f.mu
	return f
}

// start starts the stream, unless the answer has ended.
func (f *answerStream) start() {
	f.mu.Lock()
	first := !f.started && !f.ended
	if first {
		f.started, f.stallTimer = true, time.AfterFunc(stallTimeout, f.stop)
	}
	f.mu.Unlock()
	if first {
		f.begin(f)
	}
}

// receive reads the answer to its end. It returns the body if that end came before the stream started.
func (f *answerStream) receive(body io.Reader) (whole []byte, err error) {
	defer f.releaseBudget()
	if f.begin != nil && f.length > maxBufferedBytes {
		f.start()
	} else if f.begin != nil && f.length < 0 {
		timer := time.AfterFunc(bufferTime, f.start)
		defer timer.Stop()
	}
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for {
		n, err := body.Read(chunk[:])
		if n > 0 && !f.add(chunk[:n]) {
			if f.begin == nil {
				return nil, errAnswerTooLong
			}
			f.start()
			f.add(chunk[:n])
		}
		if err != nil {
			return f.end(err)
		}
	}
}

// add buffers the next bytes. Once the stream has started, it first waits until the client has taken
// the bytes before them. It reports false if the bytes cannot be buffered.
func (f *answerStream) add(chunk []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started {
		if len(f.pending)+len(chunk) > maxBufferedBytes || !f.budget.reserve(len(chunk)) {
			return false
		}
		f.reserved += len(chunk)
	}
	if f.started {
		f.stallTimer.Stop() // the wait below is for the client, not for the server
		for !f.abandoned && len(f.pending) > 0 {
			f.changed.Wait()
		}
		f.stallTimer.Reset(stallTimeout)
	}
	if !f.abandoned {
		f.pending = append(f.pending, chunk...)
	}
	f.changed.Broadcast()
	return true
}

// end records how the server's side ended. A stream that has started waits for the client's side to end too.
func (f *answerStream) end(err error) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	if !errors.Is(err, io.EOF) {
		f.err = err
	}
	if !f.started {
		return f.pending, f.err
	}
	f.stallTimer.Stop()
	f.changed.Broadcast()
	for !f.abandoned {
		f.changed.Wait()
	}
	return nil, f.err
}

// releaseBudget releases the bytes reserved for this answer.
func (f *answerStream) releaseBudget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.release(f.reserved)
	f.reserved = 0
}

// abandon ends the client's side. If the server's answer is not complete by then, it cancels the attempt.
func (f *answerStream) abandon() {
	f.mu.Lock()
	early := !f.ended || len(f.pending) > 0
	f.abandoned = true
	f.changed.Broadcast()
	f.mu.Unlock()
	if early {
		f.stop()
	}
}

// next waits for bytes that the client has not got yet. The caller owns them until its next call, to
// which it passes them back as last. It returns no bytes and no error once the client has everything.
func (f *answerStream) next(last []byte) (p []byte, more bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.pending) == 0 && !f.ended && !f.abandoned {
		f.changed.Wait()
	}
	switch {
	case f.abandoned:
		return nil, false, errClientGone
	case len(f.pending) == 0 && f.err != nil:
		return nil, false, fmt.Errorf("%w: %w", errIncomplete, f.err)
	case len(f.pending) == 0:
		return nil, false, nil
	}
	p, f.pending = f.pending, last[:0]
	if cap(last) > 2*chunkBytes {
		f.pending = nil
	}
	f.changed.Broadcast()
	return p, !f.ended, nil
}

// copy writes the answer to w. wait is called before each write, flush after a write when more is expected from the server.
func (f *answerStream) copy(w io.Writer, wait, flush func() error) error {
	var p []byte
	for {
		var more bool
		var err error
		if p, more, err = f.next(p); err != nil || len(p) == 0 {
			return err
		}
		if err := wait(); err != nil {
			return err
		}
		if _, err := w.Write(p); err != nil {
			return err
		}
		if more {
			if err := flush(); err != nil {
				return err
			}
		}
	}
}
