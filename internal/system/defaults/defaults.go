// Package defaults fills in options that are not set. A count or a duration that may not be 0 is not set where it is 0 or less. Options
// for which 0 has a meaning, or whose zero value alone is not set, take cmp.Or or say themselves what holds.
package defaults

// IfNotPositive returns value where it is above 0, and otherwise fallback. Durations are integers, too. It is not for floating-point
// numbers, as NaN is neither above 0 nor below.
func IfNotPositive[T ~int | ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
