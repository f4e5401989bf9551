package prefixcache

import "gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"

// MaxParts is how many leading parts of a prompt a Chain describes; further ones are neither looked up nor recorded.
const MaxParts = 16

// chainSeed starts each chain, so that a key is not an id of a part.
const chainSeed = 0x9e3779b97f4a7c15

// Part is one part of a prompt. Parts are shared between requests, but for a prompt's last one.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain describes the leading parts of one prompt. The key of a part covers all parts before it, too, as a server can use what it
// cached of a part only behind the same tokens (the chained block hashes of vLLM's automatic prefix caching).
type Chain struct {
	Len       int              // described parts, at most MaxParts
	Keys      [MaxParts]uint64 // of the prompt up to each part's end
	EndTokens [MaxParts]int    // tokens of the prompt up to each part's end
	Parts     int              // of the whole prompt
}

// NewChain describes a prompt. Parts with a negative number of tokens count as empty.
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

// Shared is the key and the tokens of the parts that other requests may share: all but the prompt's last. A prompt of one part
// shares none: 0, 0.
func (c *Chain) Shared() (key uint64, tokens int) {
	i := min(c.Parts-1, c.Len) - 1
	if i < 0 {
		return 0, 0
	}
	return c.Keys[i], c.EndTokens[i]
}

// isPrivate reports whether the part with the index i is the prompt's last, which no other request shares.
func (c *Chain) isPrivate(i int) bool { return i == c.Parts-1 }
