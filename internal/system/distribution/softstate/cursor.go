package softstate

import "gradeusher.example/gradeusher/internal/system/distribution/distributionpb"

const (
	// MaxServers bounds the servers of a list and of a load vector.
	MaxServers = 1 << 16
	// MaxIDBytes bounds the length of the name of a node or server.
	MaxIDBytes = 256
)

// Cursor is a position in the changes of something that its process numbers anew at each start.
type Cursor struct {
	BootID uint64 // drawn at random by the process; 0: of none
	Number uint64 // of the last change that is known
}

// CursorFromProto reads a cursor of a message; the zero cursor for nil.
func CursorFromProto(message *distributionpb.Cursor) Cursor {
	return Cursor{BootID: message.GetBoot(), Number: message.GetNumber()}
}

// ToProto returns the cursor as a message.
func (c Cursor) ToProto() *distributionpb.Cursor {
	return &distributionpb.Cursor{Boot: c.BootID, Number: c.Number}
}
