package softstate

import "gradeusher.example/gradeusher/internal/system/distribution/distributionpb"

const (
	// MaxServers bounds the servers of a list and of a load vector.
	MaxServers = 1 << 16
	// MaxIDBytes bounds the length of the name of a node or server.
	MaxIDBytes = 256
)

// Cursor is a position in a sequence of changes whose numbers restart with each start of its process.
type Cursor struct {
	BootID uint64 // random per process; 0: no process
	Number uint64 // of the last known change
}

// CursorFromProto decodes a cursor; the zero cursor for nil.
func CursorFromProto(message *distributionpb.Cursor) Cursor {
	return Cursor{BootID: message.GetBoot(), Number: message.GetNumber()}
}

// ToProto returns the cursor as a wire message.
func (c Cursor) ToProto() *distributionpb.Cursor {
	return &distributionpb.Cursor{Boot: c.BootID, Number: c.Number}
}
