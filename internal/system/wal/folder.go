package wal

import (
	"encoding/binary"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// generationShift is the number of bits below the segment number in a generation. The upper bits are the number of the segment that
// was the newest at that time. Each process starts with a segment of its own, so its generations are higher than those of every
// process before it.
const generationShift = 24

const (
	reserveName          = "reserve"
	quarantineMarkerName = "putting-aside" // while it is present, the log's files are to be renamed
	quarantinePrefix     = "damaged-"
	temporarySuffix      = ".tmp"
)

// folderListing groups the names in the log's folder by kind.
type folderListing struct {
	segments, snapshots []uint64            // ascending
	meta                map[string][]uint64 // generations, ascending
	temporary           []string
	quarantined         []string // files of the quarantined copy
	hasReserve          bool
	quarantineBegun     bool // the marker is present, so the renaming is not finished
}

// parseFolder groups the names in a log's folder. It ignores names that a log never creates.
func parseFolder(names []string) folderListing {
	listing := folderListing{meta: map[string][]uint64{}}
	for _, name := range names {
		kind, rest, _ := strings.Cut(name, "-")
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			listing.temporary = append(listing.temporary, name)
		case name == reserveName:
			listing.hasReserve = true
		case name == quarantineMarkerName:
			listing.quarantineBegun = true
		case strings.HasPrefix(name, quarantinePrefix):
			listing.quarantined = append(listing.quarantined, name)
		case kind == "log":
			if n, ok := parseNumber(rest); ok {
				listing.segments = append(listing.segments, n)
			}
		case kind == "snap":
			if n, ok := parseNumber(rest); ok {
				listing.snapshots = append(listing.snapshots, n)
			}
		case kind == "meta":
			key, number, _ := strings.Cut(rest, "-")
			if n, ok := parseNumber(number); ok && ValidateMetaName(key) == nil {
				listing.meta[key] = append(listing.meta[key], n)
			}
		}
	}
	slices.Sort(listing.segments)
	slices.Sort(listing.snapshots)
	for _, all := range listing.meta {
		slices.Sort(all)
	}
	return listing
}

// parseNumber parses the number of a segment or generation in a file name: 16 hexadecimal digits.
func parseNumber(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	return n, err == nil && len(s) == 16
}

// prepareFolder claims the next segment and then lists the folder, so that no other process changes the listed files afterwards.
func (l *Log) prepareFolder() (folderListing, error) {
	listing, err := l.listFolder()
	if err != nil {
		return listing, err
	}
	if l.options.ReadOnly {
		if listing.quarantineBegun {
			err = damagedError("the quarantine of a damaged log is not finished")
		}
		return listing, err
	}
	if listing, err = l.completeQuarantine(listing); err != nil {
		return listing, err
	}
	l.removeTemporaryFiles(listing.temporary)
	l.recordQuarantined(listing.quarantined)
	if l.nextSegment, err = l.nextNumber(listing); err != nil {
		return listing, err
	}
	if l.claimNextSegment() != nil { // the disk is full or refuses writes; what is stored can still be read
		l.unclaimed, l.superseded = true, false
	}
	listing, err = l.listFolder()
	if i := slices.Index(listing.segments, l.nextSegment); i >= 0 {
		listing.segments = listing.segments[:i]
	}
	return listing, err
}

// completeQuarantine finishes a quarantine that was interrupted, and returns the folder's listing after it.
func (l *Log) completeQuarantine(listing folderListing) (folderListing, error) {
	var err error
	if listing.quarantineBegun {
		if err := l.finishQuarantine(); err != nil {
			return listing, err
		}
		if listing, err = l.listFolder(); err != nil {
			return listing, err
		}
	}
	// The removal of the marker must be durable before new files are created, or a later Load would quarantine them as well.
	if len(listing.quarantined) > 0 {
		err = l.syncFolder()
	}
	return listing, err
}

func (l *Log) removeTemporaryFiles(names []string) {
	for _, name := range names {
		if l.remove(name) != nil {
			l.garbage = append(l.garbage, name)
		}
	}
}

func (l *Log) listFolder() (folderListing, error) {
	names, err := l.options.FS.ReadDir(l.folder)
	return parseFolder(names), diskError(err, "read the log's folder")
}

// nextNumber returns a segment number above those of all segments that were created. The newest snapshot is consulted as well,
// because it may name a segment whose file is deleted.
func (l *Log) nextNumber(listing folderListing) (uint64, error) {
	next := uint64(1)
	if n := len(listing.segments); n > 0 {
		next = listing.segments[n-1] + 1
	}
	if n := len(listing.snapshots); n > 0 {
		first, err := l.readFirstSegment(listing.snapshots[n-1])
		if err != nil {
			return 0, err
		}
		next = max(next, first)
	}
	return next, nil
}

// readFirstSegment reads the number of the oldest live segment from a snapshot's file, without verifying its checksum. It returns 0
// for a file that is too short, which loadSnapshot reports as damaged.
func (l *Log) readFirstSegment(generation uint64) (uint64, error) {
	name := snapshotName(generation)
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return 0, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	var b [snapshotFirstSegmentOffset + 8]byte
	switch _, err := f.ReadAt(b[:], 0); {
	case errors.Is(err, io.EOF): // the file is damaged, which loadSnapshot reports
		return 0, nil
	case err != nil:
		return 0, diskError(err, "read "+name)
	}
	return binary.LittleEndian.Uint64(b[snapshotFirstSegmentOffset:]), nil
}
