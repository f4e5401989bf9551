package wal

// Parts of the on-disk format and of the state in memory that the external tests look at.

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

// LastSeq returns the sequence number of the newest entry, that of the snapshot where no entry follows it.
func (l *Log) LastSeq() uint64 { return l.lastSeq }

// HasReserve reports whether the reserve is on disk.
func (l *Log) HasReserve() bool { return l.hasReserve }

// QuarantinedFiles returns the files of the copy of a damaged log.
func (l *Log) QuarantinedFiles() []string { return l.quarantinedFiles }

// Path returns the path of a file of the log.
func (l *Log) Path(name string) string { return l.path(name) }

// SetTestingKnobs takes protections out of a log that is open.
func (l *Log) SetTestingKnobs(knobs TestingKnobs) { l.options.knobs = knobs }

// WithKnobs returns the options with protections taken out.
func (o Options) WithKnobs(knobs TestingKnobs) Options {
	o.knobs = knobs
	return o
}
