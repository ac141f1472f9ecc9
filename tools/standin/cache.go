package standin

import (
	"sync"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/check"
)

const (
	blockTokens = 16
	cacheBlocks = 4096
)

// prefixCache holds the hashes of the most recent prompt blocks, as an engine's prefix cache does.
type prefixCache struct {
	mu     sync.Mutex
	blocks map[check.PrefixHash]struct{}
	order  []check.PrefixHash
}

// add caches the blocks of a prompt and returns how many of its tokens were cached before.
func (c *prefixCache) add(prompt []vaneyoke.TokenID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = map[check.PrefixHash]struct{}{}
	}
	hits := 0
	var prefix check.PrefixHash
	for i, id := range prompt {
		prefix = prefix.Append(id)
		if (i+1)%blockTokens != 0 {
			continue
		}
		if _, ok := c.blocks[prefix]; ok {
			hits = i + 1
			continue
		}
		c.insert(prefix)
	}
	return hits
}

func (c *prefixCache) insert(prefix check.PrefixHash) {
	c.blocks[prefix] = struct{}{}
	c.order = append(c.order, prefix)
	if len(c.order) > cacheBlocks {
		delete(c.blocks, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks, c.order = nil, nil
}
