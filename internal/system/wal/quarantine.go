package wal

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Quarantine durably renames the log's files within the folder, for inspection. It is for a log that Load, or the code that
// interprets the loaded contents, has found damaged. Load must be called next and finds an empty log. Only the newest copy is
// preserved, and it is dropped when its space is needed. Load finishes a quarantine that was interrupted, so that a partially
// renamed log is never served.
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

// HasQuarantine reports whether the folder contains the copy of a damaged log. If so, the promises that were stored here are lost.
func (l *Log) HasQuarantine() (bool, error) {
	listing, err := l.listFolder()
	return listing.quarantineBegun || len(listing.quarantined) > 0, err
}

// beginQuarantine removes the older copy, so that all quarantined files belong to one copy, and creates the marker.
func (l *Log) beginQuarantine(listing folderListing) error {
	for _, name := range listing.quarantined {
		if err := l.remove(name); err != nil {
			return diskError(err, "remove the older quarantined log")
		}
	}
	_ = l.remove(reserveName) // makes space for the marker
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
	return diskError(err, "create the quarantine marker")
}

// finishQuarantine renames the files of a log whose quarantine has begun, and then removes the marker.
func (l *Log) finishQuarantine() error {
	fs := l.options.FS
	if !l.options.knobs.SkipQuarantineMarkerSync { // the marker must be durable before any file is renamed
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

// recordQuarantined records the files of the quarantined copy and their total size.
func (l *Log) recordQuarantined(names []string) {
	l.quarantinedFiles, l.quarantinedBytes = names, 0
	for _, name := range names {
		if n, err := l.fileSize(name); err == nil {
			l.quarantinedBytes += n
		}
	}
}

// dropQuarantined deletes the quarantined copy. It returns false if there is none.
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
