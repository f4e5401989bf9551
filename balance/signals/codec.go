package signals

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// A report is encoded as MessagePack with the library that memberlist uses. Structs are encoded as arrays: later versions
// append fields, which earlier versions ignore.

// MaxReportBytes is the maximum size of an encoded report.
const MaxReportBytes = 640

// maxNumber is the upper bound of decoded numbers.
const maxNumber = 1 << 30

// ErrOverBounds is returned for a report that has more or longer parts than any sidecar sends.
var ErrOverBounds = errors.New("report: parts exceed the bounds")

type wireReport struct {
	Zone     string
	Uses     []wireUse
	Verdicts []wireVerdict
	Level    uint
}

type wireUse struct {
	Zone    string
	Servers uint
}

type wireVerdict struct {
	Server    string
	Start     int64
	ZoneIndex uint // index into Uses
	Kind      uint8
	Count     uint
	AgeMS     uint
}

func msgpackHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{}
	handle.StructToArray = true
	handle.MaxInitLen = 4 * maxUses // without it, any length that a peer claims is allocated before its elements are read
	return handle
}

// Encode encodes a report in at most MaxReportBytes. If it would be longer, the mildest verdicts and then uses are omitted.
func Encode(r Report) ([]byte, error) {
	wire := toWire(r)
	for {
		var encoded []byte
		if err := codec.NewEncoderBytes(&encoded, msgpackHandle()).Encode(wire); err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		switch {
		case len(encoded) <= MaxReportBytes:
			return encoded, nil
		case len(wire.Verdicts) > 0:
			wire.Verdicts = wire.Verdicts[:len(wire.Verdicts)-1]
		case len(wire.Uses) > 0:
			wire.Uses = wire.Uses[:len(wire.Uses)-1]
		default:
			return nil, fmt.Errorf("report: %d bytes exceed the limit of %d", len(encoded), MaxReportBytes)
		}
	}
}

// toWire converts a report to its wire format, with the worst verdicts first.
func toWire(r Report) wireReport {
	r.Verdicts = slices.SortedFunc(slices.Values(r.Verdicts), compareSeverity)
	r = sanitize(r)
	wire := wireReport{Zone: r.Zone, Level: uint(max(r.TrafficLevel, 0))}
	zoneIndex := map[string]uint{}
	for i, use := range r.Uses {
		zoneIndex[use.Zone] = uint(i)
		wire.Uses = append(wire.Uses, wireUse{use.Zone, uint(use.Servers)})
	}
	for _, v := range r.Verdicts {
		index, used := zoneIndex[v.Zone]
		if !used {
			continue
		}
		wire.Verdicts = append(wire.Verdicts, wireVerdict{
			Server:    v.Server,
			Start:     v.Start,
			ZoneIndex: index,
			Kind:      uint8(v.Kind),
			Count:     uint(v.Count),
			AgeMS:     uint(v.Age.Milliseconds()),
		})
	}
	return wire
}

// compareSeverity sorts the worst verdicts first and verdicts of kind Serving last.
func compareSeverity(x, y Verdict) int {
	return cmp.Or(cmp.Compare(y.Kind%Serving, x.Kind%Serving), cmp.Compare(y.Count, x.Count), cmp.Compare(x.Server, y.Server))
}

// Decode decodes a report. It returns ErrOverBounds if parts of the report exceed the bounds.
func Decode(encoded []byte) (Report, error) {
	if len(encoded) > MaxReportBytes {
		return Report{}, fmt.Errorf("report: %d bytes exceed the limit of %d", len(encoded), MaxReportBytes)
	}
	var wire wireReport
	if err := codec.NewDecoderBytes(encoded, msgpackHandle()).Decode(&wire); err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	if !wire.isWithinBounds() {
		return Report{}, ErrOverBounds
	}
	return wire.report(), nil
}

func (w wireReport) isWithinBounds() bool {
	if len(w.Zone) > maxTextBytes || len(w.Uses) > maxUses || len(w.Verdicts) > MaxVerdicts {
		return false
	}
	for _, use := range w.Uses {
		if len(use.Zone) > maxTextBytes {
			return false
		}
	}
	for _, v := range w.Verdicts {
		if v.ZoneIndex >= uint(len(w.Uses)) || len(v.Server) > maxTextBytes {
			return false
		}
	}
	return true
}

func (w wireReport) report() Report {
	r := Report{Zone: w.Zone, TrafficLevel: int(min(w.Level, maxNumber))}
	for _, use := range w.Uses {
		r.Uses = append(r.Uses, ZoneUse{use.Zone, int(min(use.Servers, maxNumber))})
	}
	for _, v := range w.Verdicts {
		r.Verdicts = append(r.Verdicts, Verdict{
			Process: Process{v.Server, v.Start},
			Zone:    w.Uses[v.ZoneIndex].Zone,
			Kind:    Kind(v.Kind),
			Count:   int(min(v.Count, maxNumber)),
			Age:     time.Duration(min(v.AgeMS, maxNumber)) * time.Millisecond,
		})
	}
	return r
}
