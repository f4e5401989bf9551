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
	chunkBytes   = 16 << 10               // bytes that are read at once of what flows
	holdTime     = 100 * time.Millisecond // an answer of unknown length is held until its end, after its head
	stallTimeout = 10 * time.Second       // a peer that takes or sends nothing for so long is given up
)

var (
	errTooLong    = errors.New("longer than can be held")
	errIncomplete = errors.New("the server did not give all of it")
	errClientGone = errors.New("the client does not take it")
)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// byteBudget bounds the bytes that are held of bodies and answers, over all connections.
type byteBudget struct {
	limit atomic.Int64
	used  atomic.Int64
}

func newByteBudget(most int64) *byteBudget {
	b := &byteBudget{}
	b.limit.Store(most)
	return b
}

// budgetOf is a quarter of the memory.
func budgetOf(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 }

// reserve books n more bytes, if there is room for them.
func (b *byteBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// answerStream is an answer that is being received. Until it starts it is held, so that it can still be dropped; then it goes to
// the client as it comes, and no faster than the client takes it.
type answerStream struct {
	length      int64 // -1: unknown
	contentType string
	budget      *byteBudget
	begin       func(*answerStream) // called once, when it begins; nil: it must not
	stop        func()              // ends the attempt

	mu         sync.Mutex
	moved      sync.Cond
	pending    []byte // that the client has not got
	reserved   int    // bytes booked
	started    bool
	ended      bool        // all has come, or err says why not
	err        error       // of the server's side
	abandoned  bool        // the client's side has ended
	stallTimer *time.Timer // once it flows: the server's time for the next bytes
}

func newAnswerStream(length int64, ctype string, room *byteBudget, begin func(*answerStream)) *answerStream {
	f := &answerStream{length: length, contentType: ctype, budget: room, begin: begin}
	if 0 < length && length <= maxBufferedBytes {
		f.pending = make([]byte, 0, length)
	}
	f.moved.L = &f.mu
	return f
}

// start has it flow from now on, unless it has ended.
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

// receive takes the answer in, and returns it if it came to its end before it began to flow.
func (f *answerStream) receive(body io.Reader) (whole []byte, err error) {
	defer f.releaseBudget()
	if f.begin != nil && f.length > maxBufferedBytes {
		f.start()
	} else if f.begin != nil && f.length < 0 {
		hold := time.AfterFunc(holdTime, f.start)
		defer hold.Stop()
	}
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for {
		n, err := body.Read(chunk[:])
		if n > 0 && !f.add(chunk[:n]) {
			if f.begin == nil {
				return nil, errTooLong
			}
			f.start()
			f.add(chunk[:n])
		}
		if err != nil {
			return f.end(err)
		}
	}
}

// add holds the next bytes, or, once the stream has started, hands them over when the client has taken those before. It reports
// false if they cannot be held.
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
		f.stallTimer.Stop() // the client's time
		for !f.abandoned && len(f.pending) > 0 {
			f.moved.Wait()
		}
		f.stallTimer.Reset(stallTimeout)
	}
	if !f.abandoned {
		f.pending = append(f.pending, chunk...)
	}
	f.moved.Broadcast()
	return true
}

// end notes how the server's side ended. A stream that has started waits for the client's side.
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
	f.moved.Broadcast()
	for !f.abandoned {
		f.moved.Wait()
	}
	return nil, f.err
}

// releaseBudget gives up what was booked.
func (f *answerStream) releaseBudget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.release(f.reserved)
	f.reserved = 0
}

// abandon ends the client's side. What has not come by then is not waited for.
func (f *answerStream) abandon() {
	f.mu.Lock()
	early := !f.ended || len(f.pending) > 0
	f.abandoned = true
	f.moved.Broadcast()
	f.mu.Unlock()
	if early {
		f.stop()
	}
}

// next waits for bytes that the client has not got, which are its own until it asks for more. There are none, and no
// error, once it has all.
func (f *answerStream) next(last []byte) (p []byte, more bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.pending) == 0 && !f.ended && !f.abandoned {
		f.moved.Wait()
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
	f.moved.Broadcast()
	return p, !f.ended, nil
}

// copy passes the answer on. wait is called before each write, flush when there is nothing to write just now.
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
