package signals

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// A report on its way is MessagePack, by the library that memberlist speaks it with, fields by their place: a later version
// adds fields behind these, which an earlier one passes over.

// MaxReportBytes is the most bytes of an encoded report.
const MaxReportBytes = 640

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
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	h.MaxInitLen = 4 * maxUses // Danger: a length that a peer says would be allocated before anything of it is read
	return h
}

// Encode writes a report in at most Most bytes. The mildest verdicts, and then uses, give way.
func Encode(r Report) ([]byte, error) {
	r.Verdicts = slices.SortedFunc(slices.Values(r.Verdicts), func(x, y Verdict) int {
		return cmp.Or(cmp.Compare(y.Kind%Serving, x.Kind%Serving), cmp.Compare(y.Count, x.Count), cmp.Compare(x.Server, y.Server))
	})
	r = sanitized(r)
	w := wireReport{Zone: r.Zone, Level: uint(max(r.TrafficLevel, 0))}
	at := map[string]uint{}
	for i, u := range r.Uses {
		at[u.Zone] = uint(i)
		w.Uses = append(w.Uses, wireUse{u.Zone, uint(u.Servers)})
	}
	for _, v := range r.Verdicts {
		if i, used := at[v.Zone]; used {
			w.Verdicts = append(w.Verdicts, wireVerdict{v.Server, v.Start, i, uint8(v.Kind), uint(v.Count), uint(v.Age.Milliseconds())})
		}
	}
	for {
		var b []byte
		if err := codec.NewEncoderBytes(&b, msgpackHandle()).Encode(w); err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		switch {
		case len(b) <= MaxReportBytes:
			return b, nil
		case len(w.Verdicts) > 0:
			w.Verdicts = w.Verdicts[:len(w.Verdicts)-1]
		case len(w.Uses) > 0:
			w.Uses = w.Uses[:len(w.Uses)-1]
		default:
			return nil, fmt.Errorf("report: %d bytes", len(b))
		}
	}
}

// Decode reads a report. What is beyond the bounds is an error.
func Decode(b []byte) (r Report, err error) {
	var w wireReport
	if len(b) > MaxReportBytes {
		return r, fmt.Errorf("report: %d bytes are over %d", len(b), MaxReportBytes)
	}
	if err := codec.NewDecoderBytes(b, msgpackHandle()).Decode(&w); err != nil {
		return r, fmt.Errorf("report: %w", err)
	}
	if len(w.Zone) > maxTextBytes || len(w.Uses) > maxUses || len(w.Verdicts) > MaxVerdicts {
		return r, fmt.Errorf("report: over the bounds")
	}
	const most = 1 << 30
	r.Zone, r.TrafficLevel = w.Zone, int(min(w.Level, most))
	for _, u := range w.Uses {
		if len(u.Zone) > maxTextBytes {
			return r, fmt.Errorf("report: over the bounds")
		}
		r.Uses = append(r.Uses, ZoneUse{u.Zone, int(min(u.Servers, most))})
	}
	for _, v := range w.Verdicts {
		if v.ZoneIndex >= uint(len(w.Uses)) || len(v.Server) > maxTextBytes {
			return r, fmt.Errorf("report: over the bounds")
		}
		r.Verdicts = append(r.Verdicts, Verdict{Process{v.Server, v.Start}, w.Uses[v.ZoneIndex].Zone, Kind(v.Kind), int(min(v.Count, most)),
			time.Duration(min(v.AgeMS, most)) * time.Millisecond})
	}
	return r, nil
}
