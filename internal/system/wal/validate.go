package wal

// maxMetaNameBytes bounds the length of the name of a piece of metadata.
const maxMetaNameBytes = 64

// The checks below define which calls every Disk rejects with ErrMisuse.

// ValidateAppend checks that entries continue a log whose newest sequence number is last.
func ValidateAppend(last uint64, entries []Entry) error {
	for i, e := range entries {
		if e.Seq != last+1+uint64(i) {
			return misuseError("entry %d does not follow %d: append without gaps", e.Seq, last+uint64(i))
		}
	}
	return nil
}

// ValidateTruncate checks that a truncation after the sequence number after does not affect the snapshot at snapshot.
func ValidateTruncate(snapshot, after uint64) error {
	if after < snapshot {
		return misuseError("truncation after %d is below the snapshot at %d: install an older snapshot instead", after, snapshot)
	}
	return nil
}

// ValidateCompact checks that a snapshot at seq is not older than the one at snapshot and not ahead of the log's end at last.
func ValidateCompact(snapshot, last, seq uint64) error {
	if seq < snapshot || seq > last {
		return misuseError("snapshot at %d is outside the log from %d to %d: install it instead", seq, snapshot, last)
	}
	return nil
}

// ValidateMetaName checks that a metadata name is safe to use in a file name.
func ValidateMetaName(name string) error {
	if name == "" || len(name) > maxMetaNameBytes {
		return misuseError("metadata needs a name of 1 to %d bytes, not %d", maxMetaNameBytes, len(name))
	}
	for _, r := range name {
		if !isMetaNameRune(r) {
			return misuseError("metadata name %q: use a to z, 0 to 9 and _", name)
		}
	}
	return nil
}

func isMetaNameRune(r rune) bool {
	isLetter := r >= 'a' && r <= 'z'
	isDigit := r >= '0' && r <= '9'
	return isLetter || isDigit || r == '_'
}
