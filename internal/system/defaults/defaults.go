// Package defaults fills in options that are not set. A count or a duration that must not be 0 counts as not set if it is 0 or less.
// Options for which only the zero value means not set use cmp.Or, and options for which 0 has a meaning document their own defaults.
package defaults

// IfNotPositive returns value if it is above 0, and fallback otherwise. Durations are integers, too. Floating-point numbers are excluded
// because NaN is neither above nor below 0.
func IfNotPositive[T ~int | ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
