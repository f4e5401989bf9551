package wal

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Quarantine sets the log's files apart under other names in the same folder, durably, for staff to look at; Load is to be called
// afterwards, and finds an empty log. It is for a log that Load or its reader has found damaged. One copy is kept, the newest;
// it is dropped when its room is needed. Cut short, it is finished by the next Load, so that nothing is served of a log of which
// a part is gone.
func (l *Log) Quarantine() error {
	if l.options.ReadOnly {
		return l.checkWritable()
	}
	_ = l.closeSegment()
	l.loaded = false
	listing, err := l.listFolder()
	if err != nil {
		return err
	}
	if !listing.quarantineBegun {
		if err := l.beginQuarantine(listing); err != nil {
			return err
		}
	}
	return l.finishQuarantine()
}

// HasQuarantine tells whether the folder holds the copy of a damaged log, so that what was promised here is not known any more.
func (l *Log) HasQuarantine() (bool, error) {
	listing, err := l.listFolder()
	return listing.quarantineBegun || len(listing.quarantined) > 0, err
}

// beginQuarantine removes the older copy, so that what has the names of a copy from here on is of this one, and marks the log.
func (l *Log) beginQuarantine(listing folderListing) error {
	for _, name := range listing.quarantined {
		if err := l.remove(name); err != nil {
			return diskError(err, "remove the older quarantined log")
		}
	}
	_ = l.remove(reserveName) // makes room for the mark
	if err := l.syncFolder(); err != nil {
		return err
	}
	f, err := l.options.FS.Create(l.path(quarantineMarkerName))
	if err == nil {
		err = f.Close()
	}
	if errors.Is(err, os.ErrExist) {
		err = nil
	}
	return diskError(err, "make the quarantine marker")
}

// finishQuarantine renames the files of a log that is marked, and takes the mark away.
func (l *Log) finishQuarantine() error {
	fs := l.options.FS
	if !l.options.TestingKnobs.SkipQuarantineMarkerSync { // the mark lasts before anything is renamed
		if err := l.syncFolder(); err != nil {
			return err
		}
	}
	names, err := fs.ReadDir(l.folder)
	if err != nil {
		return diskError(err, "read the log's folder")
	}
	for _, name := range names {
		kind, _, _ := strings.Cut(name, "-")
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			err = l.remove(name)
		case kind == "log" || kind == "snap" || kind == "meta":
			err = fs.Rename(l.path(name), l.path(quarantinePrefix+name))
		}
		if err != nil {
			return diskError(err, "quarantine "+name)
		}
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	if err := l.remove(quarantineMarkerName); err != nil {
		return diskError(err, "remove the quarantine marker")
	}
	return l.syncFolder()
}

// recordQuarantined notes what the copy takes.
func (l *Log) recordQuarantined(names []string) {
	l.quarantinedFiles, l.quarantinedBytes = names, 0
	for _, name := range names {
		if n, err := l.fileSize(name); err == nil {
			l.quarantinedBytes += n
		}
	}
}

// dropQuarantined deletes the copy of a damaged log; false where there is none.
func (l *Log) dropQuarantined() bool {
	dropped := len(l.quarantinedFiles) > 0
	for _, name := range l.quarantinedFiles {
		if l.remove(name) != nil {
			l.garbage = append(l.garbage, name)
		}
	}
	l.quarantinedFiles, l.quarantinedBytes = nil, 0
	return dropped
}
