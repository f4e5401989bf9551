package wal

// takeOver makes what was loaded durable, and the log's own from here on. What the newest segment ends with may be in the
// kernel's memory alone, if its sync failed before the last process ended; to sync that file again would prove nothing. So its
// last record is written again, as the start of the next segment. Where there is no room for that, a sync has to do.
func (l *Log) takeOver(newest newestSegment) error {
	if err := l.o.FS.SyncDir(l.folder); err != nil {
		return diskError(err, "sync the log's folder")
	}
	l.deleteGarbage()
	l.tail = newest.link
	l.makeRoom(int64(len(newest.record)))
	if !l.unfenced && !l.o.hooks.trustNewest {
		if l.carry(newest) == nil {
			l.giveBackRoom()
			return nil
		}
		l.unfenced = true
	}
	if l.o.hooks.trustNewest {
		l.leftover = segmentName(l.number)
	}
	if newest.number == 0 {
		return nil
	}
	f, err := l.o.FS.Open(l.path(segmentName(newest.number)))
	if err != nil {
		return diskError(err, "open the newest segment")
	}
	defer func() { _ = f.Close() }()
	return diskError(f.Sync(), "sync the newest segment")
}

// giveBackRoom cuts off what segments have behind their ends. What cannot be cut off is counted as taken.
func (l *Log) giveBackRoom() {
	for i := range l.segments {
		s := &l.segments[i]
		if s.size <= s.end {
			continue
		}
		f, err := l.o.FS.Open(l.path(segmentName(s.number)))
		if err != nil {
			continue
		}
		if f.Truncate(s.end) == nil {
			s.size = s.end
		}
		_ = f.Close()
	}
}

// carry begins the next segment with the last record of the newest.
func (l *Log) carry(newest newestSegment) error {
	tail, segments := l.tail, l.segments
	l.tail.end -= int64(len(newest.record))
	emptied := newest.number > 0 && l.tail.end == headerSize
	switch {
	case emptied: // then it is not needed any more
		l.tail = newest.previous
		l.segments = segments[:len(segments)-1]
	case newest.number > 0:
		segments[len(segments)-1].end = l.tail.end
	}
	if err := l.fillSegment(newest.record); err != nil {
		l.tail, l.segments = tail, segments
		if newest.number > 0 {
			segments[len(segments)-1].end = tail.end
		}
		return err
	}
	for i := range l.batches {
		if b := &l.batches[i]; b.segment == newest.number && b.first >= newest.first {
			b.segment = l.tail.number
		}
	}
	if emptied {
		l.garbage = append(l.garbage, segmentName(newest.number))
	}
	return nil
}
