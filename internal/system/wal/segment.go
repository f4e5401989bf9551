package wal

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

// closeSegment ends the newest segment: the next record makes another.
func (l *Log) closeSegment() error {
	if l.active == nil {
		return nil
	}
	err := l.active.Close()
	l.active = nil
	return diskError(err, "close a segment")
}

// write puts a record at the end of the log, and syncs it.
func (l *Log) write(record []byte) error {
	if l.active != nil && l.tail.end >= l.o.SegmentBytes {
		if err := l.closeSegment(); err != nil {
			return err
		}
	}
	if l.active == nil {
		if err := l.createSegment(nil); err != nil {
			return err
		}
	}
	finishRecord(record, l.nonce, l.tail.end)
	_, err := l.active.WriteAt(record, l.tail.end)
	if err == nil {
		err = l.active.Sync()
	}
	if err == nil {
		err = l.owned()
	}
	if err != nil {
		l.abandon(l.tail.end + int64(len(record)))
		return diskError(err, "write to a segment")
	}
	l.tail.end += int64(len(record))
	s := &l.segments[len(l.segments)-1]
	s.end, s.size = l.tail.end, l.tail.end
	return nil
}

// abandon ends the newest segment after a write or sync that failed. Whether what it wrote is on disk is unknown, and a later
// sync of this file would prove nothing: the kernel may have dropped what it could not write. The next segment's header cuts
// it off; that it is cut off in the file, too, only gives back the room.
func (l *Log) abandon(size int64) {
	if l.superseded { // the files are another's
		_ = l.closeSegment()
		return
	}
	s := &l.segments[len(l.segments)-1]
	s.size = size
	if l.active.Truncate(s.end) == nil {
		s.size = s.end
	}
	if l.o.hooks.sameSegment {
		return
	}
	l.unsure = true
	_ = l.closeSegment()
	if s.end > headerSize {
		return
	}
	// It holds nothing, so its number and place are free.
	l.leftover = segmentName(s.number)
	l.number, l.tail = s.number, l.before
	l.segments = l.segments[:len(l.segments)-1]
	_ = l.removeLeftover()
}

// removeLeftover removes a segment that did not come about, so that its number can be used.
func (l *Log) removeLeftover() error {
	if l.leftover == "" {
		return nil
	}
	if err := l.remove(l.leftover); err != nil {
		return diskError(err, "remove a segment that was not finished")
	}
	l.leftover = ""
	return nil
}

// createNew makes an empty file in place of one of that name that counts no more. The old file is not written again, since a
// sync of it may have failed.
func (l *Log) createNew(name string) (File, error) {
	if err := l.remove(name); err != nil {
		return nil, err
	}
	return l.o.FS.Create(l.path(name))
}

// createSegment makes the next segment, which begins with the record, if any. The empty file is made under the segment's own
// name first: that fails where another process has taken the number. What it is to begin with is renamed over it once it is
// synced, so a segment that is not empty has a whole start. After a failure the same number is used again.
func (l *Log) createSegment(record []byte) error {
	if err := l.removeLeftover(); err != nil {
		return err
	}
	if err := l.fence(); err != nil {
		return err
	}
	return l.fillSegment(record)
}

// fence makes the next segment's file, empty.
func (l *Log) fence() error {
	f, err := l.o.FS.Create(l.path(segmentName(l.number)))
	if errors.Is(err, os.ErrExist) && !l.o.hooks.noFence {
		l.superseded = true
		return superseded()
	}
	if err != nil && !errors.Is(err, os.ErrExist) {
		return diskError(err, "make a segment")
	}
	if err == nil {
		err = f.Close()
	}
	if err == nil && l.unfenced {
		err = l.tailUnchanged()
	}
	if err != nil {
		l.leftover = segmentName(l.number)
		_ = l.removeLeftover()
		return diskError(err, "make a segment")
	}
	l.unfenced = false
	return nil
}

// tailUnchanged fails where the newest segment has grown since it was loaded without a fence.
func (l *Log) tailUnchanged() error {
	if len(l.segments) == 0 || l.segments[len(l.segments)-1].number != l.tail.number {
		return nil
	}
	size, err := l.size(segmentName(l.tail.number))
	if err == nil && size > l.segments[len(l.segments)-1].size {
		l.superseded = true
		return superseded()
	}
	return err
}

// fillSegment gives the next segment, whose empty file is there, its start.
func (l *Log) fillSegment(record []byte) error {
	name := segmentName(l.number)
	h := header{number: l.number, previous: l.tail, generation: l.snapGeneration, nonce: l.o.Nonce()}
	start := append(h.encode(), record...)
	if len(record) > 0 {
		finishRecord(start[headerSize:], h.nonce, headerSize)
	}
	f, _, err := l.replace(name, start)
	if err != nil {
		l.leftover = name
		_ = l.removeLeftover()
		return err
	}
	l.before, l.tail = l.tail, link{l.number, int64(len(start))}
	l.segments = append(l.segments, segment{l.number, l.tail.end, l.tail.end})
	l.active, l.nonce = f, h.nonce
	l.number++
	l.unsure = false
	return nil
}

// owned fails where another process has opened the log since: it has made the next segment. What this one wrote before that
// was there has been read by the other one; what it wrote later must not be acknowledged.
func (l *Log) owned() error {
	if l.o.hooks.noFence {
		return nil
	}
	next := l.number
	if l.leftover != "" { // a file of its own has that number
		next++
	}
	f, err := l.o.FS.Open(l.path(segmentName(next)))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return diskError(err, "look for the next segment")
	}
	_ = f.Close()
	l.superseded = true
	return superseded()
}
