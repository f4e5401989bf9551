package members

import (
	"encoding/binary"
	"strconv"
	"strings"
)

// separator stands between a member's name and its process's start, in memberlist's name for the process.
const separator = "@"

// process is one process of an origin.
type process struct {
	name  string
	start int64
}

// node returns memberlist's name for a process.
func (p process) nodeName() string { return p.name + separator + strconv.FormatInt(p.start, 36) }

// parse returns the process that a name of memberlist stands for. A name without a start is a member whose process has start 0.
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

// decodeProcess reads what appendTo appended, and returns what is behind it.
func decodeProcess(b []byte) (p process, rest []byte, err error) {
	if len(b) < 9 || b[8] == 0 || b[8] > MaxNameBytes || len(b) < 9+int(b[8]) {
		return p, nil, errMalformed
	}
	n := 9 + int(b[8])
	return process{string(b[9:n]), int64(binary.BigEndian.Uint64(b))}, b[n:], nil
}
