package members

import (
	"encoding/binary"
	"strconv"
	"strings"
)

// separator stands between the member's name and the process's start in the name that memberlist has for a process.
const separator = "@"

// process identifies a process of a member.
type process struct {
	name  string // of the member
	start int64  // Unix time in nanoseconds; 0: not known
}

// nodeName returns the process's name in memberlist.
func (p process) nodeName() string { return p.name + separator + strconv.FormatInt(p.start, 36) }

// parseNodeName returns the process that a name in memberlist stands for. A name without a valid start is a member's name, and the start
// of its process is 0.
func parseNodeName(name string) process {
	if at := strings.LastIndex(name, separator); at > 0 {
		if start, err := strconv.ParseInt(name[at+1:], 36, 64); err == nil && start > 0 {
			return process{name[:at], start}
		}
	}
	return process{name, 0}
}

// appendTo appends the process: its start, and its name with its length.
func (p process) appendTo(b []byte) []byte {
	return append(append(binary.BigEndian.AppendUint64(b, uint64(p.start)), byte(len(p.name))), p.name...)
}

// decodeProcess decodes what appendTo appended, and returns the bytes after it.
func decodeProcess(b []byte) (p process, rest []byte, err error) {
	if len(b) < 9 || b[8] == 0 || b[8] > MaxNameBytes || len(b) < 9+int(b[8]) {
		return p, nil, errMalformed
	}
	n := 9 + int(b[8])
	return process{string(b[9:n]), int64(binary.BigEndian.Uint64(b))}, b[n:], nil
}
