package softstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// maxServerDuration bounds the times of a server.
	maxServerDuration = 24 * time.Hour
	// maxSlots bounds the slots of a server.
	maxSlots = 1 << 30
	// remainingTolerance is how far the remaining time in a new reading may differ from the stored time, which is counted down, before
	// the entry is written again. The platform's list rounds and lags by about as much.
	remainingTolerance = 400 * time.Millisecond
	// warmUpTolerance is how much longer an entry's warm-up may last than that in a new reading before the entry is written again.
	warmUpTolerance = 250 * time.Millisecond
	// warmUpMargin is added to the end of a warm-up when it is written, so that readings of the same warm-up, which differ by their
	// transit times, are not written one after another.
	warmUpMargin = 20 * time.Millisecond
	// warmUpRounding is the maximum amount by which the end of a warm-up is rounded up in transit.
	warmUpRounding = 2 * time.Millisecond
)

// EncodeServer returns the value of a server's entry.
func EncodeServer(s pick.Server) []byte {
	return Marshal(&distributionpb.Server{Service: s.Service, Address: s.Address, Zone: s.Zone, Region: s.Region,
		Slots: uint32(max(0, min(s.Slots, maxSlots))), Draining: s.Draining, RemainingMs: millisecondsCeil(s.Remaining),
		ColdMs: millisecondsCeil(s.WarmUpMax)})
}

// decodeServer decodes the entry of a server, with its times as of when the entry was made.
func decodeServer(id string, value []byte) (pick.Server, bool) {
	var message distributionpb.Server
	if proto.Unmarshal(value, &message) != nil {
		return pick.Server{}, false
	}
	return pick.Server{ID: id, Service: message.GetService(), Address: message.GetAddress(), Zone: message.GetZone(),
		Region: message.GetRegion(), Slots: int(message.GetSlots()), Draining: message.GetDraining(),
		WarmUpMax: BoundedMilliseconds(message.GetColdMs(), maxServerDuration),
		Remaining: BoundedMilliseconds(message.GetRemainingMs(), maxServerDuration)}, true
}

// millisecondsCeil returns a duration in milliseconds, rounded up and bounded by maxServerDuration.
func millisecondsCeil(d time.Duration) uint64 {
	return uint64((max(0, min(d, maxServerDuration)) + time.Millisecond - 1) / time.Millisecond)
}

// CountDown returns a server with its times counted down by age, the time since they were stated. A warm-up forbids, so its end errs on
// the late side; the remaining time permits, so its end errs on the early side.
func CountDown(s pick.Server, age Age) pick.Server {
	s.WarmUpMin = max(0, s.WarmUpMax-warmUpMargin-warmUpRounding-age.Max)
	s.WarmUpMax = max(0, s.WarmUpMax-age.Min)
	if s.Remaining > 0 {
		s.Remaining = max(time.Millisecond, s.Remaining-age.Max) // 0 would mean that there is no termination notice
	}
	return s
}

// AgreesWithReading reports whether the stored server agrees with a new reading of it, both with their times as of now, so that the entry
// need not be written again.
func AgreesWithReading(stored, read pick.Server) bool {
	return warmUpAgrees(stored, read) && remainingAgrees(stored, read) && withoutTimes(stored) == withoutTimes(read)
}

// warmUpAgrees reports whether the stored warm-up lasts about as long as that in a new reading, and never shorter. A later end in the
// reading never agrees, even if both may describe the same warm-up, as it may have been extended in between.
func warmUpAgrees(stored, read pick.Server) bool {
	return read.WarmUpMax <= stored.WarmUpMax && stored.WarmUpMax-read.WarmUpMax <= warmUpTolerance
}

func remainingAgrees(stored, read pick.Server) bool {
	return (stored.Remaining-read.Remaining).Abs() <= remainingTolerance && (stored.Remaining > 0) == (read.Remaining > 0)
}

func withoutTimes(s pick.Server) pick.Server {
	s.WarmUpMax, s.WarmUpMin, s.Remaining = 0, 0, 0
	return s
}

// WithWarmUpMargin returns a server whose warm-up, if it has one, ends later by warmUpMargin. This is what is written for a reading.
func WithWarmUpMargin(s pick.Server) pick.Server {
	if s.WarmUpMax > 0 {
		s.WarmUpMax += warmUpMargin
	}
	return s
}
