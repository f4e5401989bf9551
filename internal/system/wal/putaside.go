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
	if l.o.ReadOnly {
		return l.usable()
	}
	_ = l.closeSegment()
	l.loaded = false
	list, err := l.list()
	if err != nil {
		return err
	}
	if !list.putAside {
		if err := l.beginPutAside(list); err != nil {
			return err
		}
	}
	return l.finishPutAside()
}

// HasQuarantine tells whether the folder holds the copy of a damaged log, so that what was promised here is not known any more.
func (l *Log) HasQuarantine() (bool, error) {
	list, err := l.list()
	return list.putAside || len(list.damaged) > 0, err
}

// beginPutAside removes the older copy, so that what has the names of a copy from here on is of this one, and marks the log.
func (l *Log) beginPutAside(list folderList) error {
	for _, name := range list.damaged {
		if err := l.remove(name); err != nil {
			return diskError(err, "remove the older copy of a damaged log")
		}
	}
	_ = l.remove(reserveName) // makes room for the mark
	if err := l.o.FS.SyncDir(l.folder); err != nil {
		return diskError(err, "sync the log's folder")
	}
	f, err := l.o.FS.Create(l.path(putAsideName))
	if err == nil {
		err = f.Close()
	}
	if errors.Is(err, os.ErrExist) {
		err = nil
	}
	return diskError(err, "mark the log as put aside")
}

// finishPutAside renames the files of a log that is marked, and takes the mark away.
func (l *Log) finishPutAside() error {
	fs := l.o.FS
	if !l.o.hooks.looseMark { // the mark lasts before anything is renamed
		if err := fs.SyncDir(l.folder); err != nil {
			return diskError(err, "sync the log's folder")
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
			err = fs.Rename(l.path(name), l.path(damagedPrefix+name))
		}
		if err != nil {
			return diskError(err, "put "+name+" aside")
		}
	}
	if err := fs.SyncDir(l.folder); err != nil {
		return diskError(err, "sync the log's folder")
	}
	if err := l.remove(putAsideName); err != nil {
		return diskError(err, "end the putting aside")
	}
	return diskError(fs.SyncDir(l.folder), "sync the log's folder")
}

// countDamaged notes what the copy takes.
func (l *Log) countDamaged(names []string) {
	l.damaged, l.damagedBytes = names, 0
	for _, name := range names {
		if n, err := l.size(name); err == nil {
			l.damagedBytes += n
		}
	}
}

// dropDamaged deletes the copy of a damaged log; false where there is none.
func (l *Log) dropDamaged() bool {
	dropped := len(l.damaged) > 0
	for _, name := range l.damaged {
		if l.remove(name) != nil {
			l.garbage = append(l.garbage, name)
		}
	}
	l.damaged, l.damagedBytes = nil, 0
	return dropped
}
