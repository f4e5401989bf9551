package routes

// anyValue is the value in a match that any value satisfies.
const anyValue = "*"

// Matches reports whether tags satisfy m, and how many of m's values are matched exactly.
func (m Match) Matches(tags map[string]string) (ok bool, exact int) {
	for tag, wanted := range m {
		value, known := tags[tag]
		switch {
		case wanted == anyValue && (known || tag == "service"):
		case known && value == wanted:
			exact++
		default:
			return false, 0
		}
	}
	return true, exact
}

// Best returns the rule that applies to a client and service. A rule with more tags takes precedence, then
// one with more exact values instead of "*", then the newest. Best returns nil if no rule matches.
func Best(rules []Rule, client map[string]string, service string) (best *Rule) {
	highest := -1
	for i, rule := range rules {
		sourceMatches, exactSource := rule.Source.Matches(client)
		serviceMatches, exactService := rule.Service.Matches(map[string]string{"service": service})
		tags := len(rule.Source) + len(rule.Service)
		rank := tags<<8 + exactSource + exactService
		if sourceMatches && serviceMatches && rank >= highest {
			best, highest = &rules[i], rank
		}
	}
	return best
}
