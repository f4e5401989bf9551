package quota

// Share is a part of a tenant's limit. Its holder's bucket fills at Fraction of the limit's
// rate, and its depth is Fraction of the tenant's depth (Bounds.Depth) plus Extra tokens.
type Share struct {
	Fraction float64 // of the limit, 0 to 1
	Extra    int     // tokens, 0 or more
}

// IsZero reports whether the share permits nothing.
func (s Share) IsZero() bool { return s.Fraction <= 0 && s.Extra <= 0 }

// atLeast returns the share whose fraction and extra tokens are each the larger of the two shares.
func (s Share) atLeast(other Share) Share {
	return Share{Fraction: max(s.Fraction, other.Fraction), Extra: max(s.Extra, other.Extra)}
}

// exceeds reports whether the fraction or the extra tokens of the share are larger than those of another.
func (s Share) exceeds(other Share) bool {
	return s.Fraction > other.Fraction || s.Extra > other.Extra
}

// plus returns the sum of two shares.
func (s Share) plus(other Share) Share {
	return Share{Fraction: s.Fraction + other.Fraction, Extra: s.Extra + other.Extra}
}

// valid reports whether a share received in a message is well-formed.
func (s Share) valid() bool {
	return s.Fraction >= 0 && s.Fraction <= 1 && s.Extra >= 0 // false for NaN
}
