package wal

// Parts of the on-disk format and of the in-memory state that the external tests use.

const (
	HeaderSize           = headerSize
	RecordHeaderSize     = recordHeaderSize
	QuarantineMarkerName = quarantineMarkerName
	QuarantinePrefix     = quarantinePrefix
	TemporarySuffix      = temporarySuffix
)

// OSFS is the operating system's file system.
type OSFS = osFS

// SegmentName returns the name of a segment's file.
func SegmentName(number uint64) string { return segmentName(number) }

// LastSeq returns the sequence number of the newest entry, or that of the snapshot if no entry follows it.
func (l *Log) LastSeq() uint64 { return l.lastSeq }

// HasReserve reports whether the reserve is on disk.
func (l *Log) HasReserve() bool { return l.hasReserve }

// QuarantinedFiles returns the files of the copy of a damaged log.
func (l *Log) QuarantinedFiles() []string { return l.quarantinedFiles }

// Path returns the path of a file of the log.
func (l *Log) Path(name string) string { return l.path(name) }

// SetTestingKnobs disables protections of an open log.
func (l *Log) SetTestingKnobs(knobs TestingKnobs) { l.options.knobs = knobs }

// WithKnobs returns the options with protections disabled.
func (o Options) WithKnobs(knobs TestingKnobs) Options {
	o.knobs = knobs
	return o
}
