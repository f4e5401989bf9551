package engine

import "container/list"

// cachedPart is a prompt part in the cache.
type cachedPart struct {
	id     uint64
	tokens int
	users  int           // running jobs that use it
	idle   *list.Element // its element of prefixCache.order; nil: it has users
}

// prefixCache caches prompt parts. Parts without users can be evicted, the least recently used first.
type prefixCache struct {
	parts        map[uint64]*cachedPart
	order        list.List // of *cachedPart without users, the least recently used first
	cachedTokens int64     // of all parts
	idleTokens   int64     // of parts without users
}

// pin adds a user to the cached parts at the start of a prompt, up to the first one that is not cached, and returns them.
func (c *prefixCache) pin(parts []PromptPart) []*cachedPart {
	var pinned []*cachedPart
	for _, want := range parts {
		p := c.parts[want.ID]
		if p == nil || p.tokens != want.Tokens {
			break
		}
		c.use(p)
		pinned = append(pinned, p)
	}
	return pinned
}

// use adds a user to a part.
func (c *prefixCache) use(p *cachedPart) {
	if p.users == 0 && p.idle != nil {
		c.order.Remove(p.idle)
		p.idle = nil
		c.idleTokens -= int64(p.tokens)
	}
	p.users++
}

// add caches a part for a user. If the part is cached already, the user shares it.
func (c *prefixCache) add(want PromptPart) *cachedPart {
	p := c.parts[want.ID]
	if p == nil || p.tokens != want.Tokens {
		if p != nil && p.users == 0 {
			c.evict(p)
		}
		p = &cachedPart{id: want.ID, tokens: want.Tokens}
		c.parts[p.id] = p
		c.cachedTokens += int64(p.tokens)
	}
	c.use(p)
	return p
}

// unpin removes a user from parts.
func (c *prefixCache) unpin(pinned []*cachedPart) {
	for i := len(pinned) - 1; i >= 0; i-- { // Later parts of a prompt are evicted first.
		p := pinned[i]
		if p.users--; p.users > 0 {
			continue
		}
		if c.parts[p.id] != p { // Another part of the same id has replaced it.
			c.cachedTokens -= int64(p.tokens)
			continue
		}
		p.idle = c.order.PushBack(p)
		c.idleTokens += int64(p.tokens)
	}
}

// evictTo evicts parts without users until at most maxTokens tokens are cached, or none is left.
func (c *prefixCache) evictTo(maxTokens int64) {
	for c.cachedTokens > maxTokens && c.order.Len() > 0 {
		c.evict(c.order.Front().Value.(*cachedPart))
	}
}

// evict drops a part without users.
func (c *prefixCache) evict(p *cachedPart) {
	c.order.Remove(p.idle)
	p.idle = nil
	c.idleTokens -= int64(p.tokens)
	c.cachedTokens -= int64(p.tokens)
	if c.parts[p.id] == p {
		delete(c.parts, p.id)
	}
}
