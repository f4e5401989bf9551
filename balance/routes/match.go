package routes

// Matches tells whether tags satisfy m, and how many of m's values are exact.
func (m Match) Matches(tags map[string]string) (ok bool, exact int) {
	for tag, want := range m {
		have, known := tags[tag]
		switch {
		case want == "*" && (known || tag == "service"):
		case known && have == want:
			exact++
		default:
			return false, 0
		}
	}
	return true, exact
}

// Best picks the one rule that decides: more tags beat fewer, then more exact values beat "*", then the
// newest wins. It returns nil if none matches.
func Best(rules []Rule, client map[string]string, service string) (best *Rule) {
	highest := -1
	for i, r := range rules {
		okSource, exactSource := r.Source.Matches(client)
		okService, exactService := r.Service.Matches(map[string]string{"service": service})
		rank := (len(r.Source)+len(r.Service))<<8 + exactSource + exactService
		if okSource && okService && rank >= highest {
			best, highest = &rules[i], rank
		}
	}
	return best
}
