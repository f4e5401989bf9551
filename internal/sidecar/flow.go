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
	flowPiece = 16 << 10               // bytes that are read at once of what flows
	holdFor   = 100 * time.Millisecond // an answer of unknown length is held back for its end, after its head
	stallFor  = 10 * time.Second       // a peer that takes or gives nothing for so long is given up
)

var (
	errTooLong = errors.New("longer than can be held")
	errBroken  = errors.New("the server did not give all of it")
	errLeft    = errors.New("the client does not take it")
)

var pieces = sync.Pool{New: func() any { return new([flowPiece]byte) }}

// budget bounds the bytes that are held of bodies and answers, over all connections.
type budget struct {
	most atomic.Int64
	held atomic.Int64
}

func newBudget(most int64) *budget {
	b := &budget{}
	b.most.Store(most)
	return b
}

// budgetOf is a quarter of the memory.
func budgetOf(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 }

// take books n more bytes, if there is room for them.
func (b *budget) take(n int) bool {
	if b.held.Add(int64(n)) > b.most.Load() {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

func (b *budget) give(n int) { b.held.Add(-int64(n)) }

// flow is an answer on its way. Until it begins it is held, so that it can still be given up; then it goes to the client
// as it comes, and no faster than the client takes it.
type flow struct {
	length int64 // -1: unknown
	ctype  string
	room   *budget
	begin  func(*flow) // called once, when it begins; nil: it must not
	stop   func()      // ends the attempt

	mu    sync.Mutex
	moved sync.Cond
	buf   []byte // that the client has not got
	kept  int    // bytes booked
	begun bool
	ended bool        // all has come, or err says why not
	err   error       // of the server's side
	left  bool        // the client's side has ended
	stall *time.Timer // once it flows: the server's time for the next bytes
}

func newFlow(length int64, ctype string, room *budget, begin func(*flow)) *flow {
	f := &flow{length: length, ctype: ctype, room: room, begin: begin}
	if 0 < length && length <= mostBody {
		f.buf = make([]byte, 0, length)
	}
	f.moved.L = &f.mu
	return f
}

// start has it flow from now on, unless it has ended.
func (f *flow) start() {
	f.mu.Lock()
	first := !f.begun && !f.ended
	if first {
		f.begun, f.stall = true, time.AfterFunc(stallFor, f.stop)
	}
	f.mu.Unlock()
	if first {
		f.begin(f)
	}
}

// fill takes the answer in, and returns it if it came to its end before it began to flow.
func (f *flow) fill(body io.Reader) (whole []byte, err error) {
	defer f.free()
	if f.begin != nil && f.length > mostBody {
		f.start()
	} else if f.begin != nil && f.length < 0 {
		hold := time.AfterFunc(holdFor, f.start)
		defer hold.Stop()
	}
	piece := pieces.Get().(*[flowPiece]byte)
	defer pieces.Put(piece)
	for {
		n, err := body.Read(piece[:])
		if n > 0 && !f.add(piece[:n]) {
			if f.begin == nil {
				return nil, errTooLong
			}
			f.start()
			f.add(piece[:n])
		}
		if err != nil {
			return f.end(err)
		}
	}
}

// add takes in the next bytes once there is room for them, or tells that there is none before it flows.
func (f *flow) add(p []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.begun {
		if len(f.buf)+len(p) > mostBody || !f.room.take(len(p)) {
			return false
		}
		f.kept += len(p)
	}
	if f.begun {
		f.stall.Stop() // the client's time
		for !f.left && len(f.buf) > 0 {
			f.moved.Wait()
		}
		f.stall.Reset(stallFor)
	}
	if !f.left {
		f.buf = append(f.buf, p...)
	}
	f.moved.Broadcast()
	return true
}

// end takes in how the server's side ended. If it flows, it waits for the client's side.
func (f *flow) end(err error) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	if err != io.EOF {
		f.err = err
	}
	if !f.begun {
		return f.buf, f.err
	}
	f.stall.Stop()
	f.moved.Broadcast()
	for !f.left {
		f.moved.Wait()
	}
	return nil, f.err
}

// free gives up what was booked.
func (f *flow) free() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.room.give(f.kept)
	f.kept = 0
}

// leave ends the client's side. What has not come by then is not waited for.
func (f *flow) leave() {
	f.mu.Lock()
	early := !f.ended || len(f.buf) > 0
	f.left = true
	f.moved.Broadcast()
	f.mu.Unlock()
	if early {
		f.stop()
	}
}

// next waits for bytes that the client has not got, which are its own until it asks for more. There are none, and no
// error, once it has all.
func (f *flow) next(last []byte) (p []byte, more bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.buf) == 0 && !f.ended && !f.left {
		f.moved.Wait()
	}
	switch {
	case f.left:
		return nil, false, errLeft
	case len(f.buf) == 0 && f.err != nil:
		return nil, false, fmt.Errorf("%w: %w", errBroken, f.err)
	case len(f.buf) == 0:
		return nil, false, nil
	}
	p, f.buf = f.buf, last[:0]
	if cap(last) > 2*flowPiece {
		f.buf = nil
	}
	f.moved.Broadcast()
	return p, !f.ended, nil
}

// copy passes the answer on. wait is called before each write, flush when there is nothing to write just now.
func (f *flow) copy(w io.Writer, wait, flush func() error) error {
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
