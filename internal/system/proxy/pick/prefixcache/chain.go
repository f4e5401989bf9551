package prefixcache

import "gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"

// MaxParts is how many leading parts of a prompt a Chain describes; further parts are neither looked up nor recorded.
const MaxParts = 16

// chainSeed is the start value of each chain, so that a key never equals the id of a part.
const chainSeed = 0x9e3779b97f4a7c15

// Part is one part of a prompt. Requests may share any part but the last one of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain describes the leading parts of one prompt. The key of a part also covers all parts before it, because a server can
// use a cached part only after the same preceding tokens (the chained block hashes of vLLM's automatic prefix caching).
type Chain struct {
	Len       int              // number of described parts, at most MaxParts
	Keys      [MaxParts]uint64 // of the prompt up to each part's end
	EndTokens [MaxParts]int    // tokens of the prompt up to each part's end
	Parts     int              // number of parts of the whole prompt
}

// NewChain creates the Chain of a prompt. Parts with a negative number of tokens count as empty.
func NewChain(parts []Part) (c Chain) {
	key, sum := uint64(chainSeed), 0
	c.Parts = len(parts)
	for _, part := range parts {
		if c.Len == MaxParts {
			break
		}
		key = rendezvous.Mix(key ^ rendezvous.Mix(part.ID+chainSeed))
		sum += max(part.Tokens, 0)
		c.Keys[c.Len], c.EndTokens[c.Len] = key, sum
		c.Len++
	}
	return c
}

// Shared returns the key and the number of tokens of the parts that other requests
// may share: all but the prompt's last one. For a prompt of one part it returns 0, 0.
func (c *Chain) Shared() (key uint64, tokens int) {
	i := min(c.Parts-1, c.Len) - 1
	if i < 0 {
		return 0, 0
	}
	return c.Keys[i], c.EndTokens[i]
}

// isPrivate reports whether the part with index i is the prompt's last one, which no other request shares.
func (c *Chain) isPrivate(i int) bool { return i == c.Parts-1 }
