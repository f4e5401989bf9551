package replication

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// A node may vote on the first view only in the first start of the whole system, which its settings announce once (Config.Bootstrap).
// If a majority of the voters ends before a view is chosen, their settings no longer say so when they start again. So a node with a disk
// stores, before anything else, that its disk takes part in the first start, with the seeds that vote in it. As long as the disk holds no
// view, it takes part with these seeds, whatever the settings say by then.
//
// Why there is no second first view: a vote belongs to a disk. Every disk that may vote was written in the one first start, so all of them
// name the same seeds, and a seed's address has one such disk: a node that starts later with an empty disk has no vote. A disk holds its own
// promises, so it never votes against them. Two majorities of the seeds thus share a disk (isQuorum), and of two views of epoch 1 at most
// one is chosen, as in any Paxos, whichever processes end at whichever moments. A disk that is lost takes its vote with it.
//
// A node that ends before this is stored is no different from one that has lost its disk, and has no vote afterwards.

// metaFirstStart is the name under which the seeds of the first start are stored, one per line.
const metaFirstStart = "first_start"

// takesPartInFirstStart reports whether this node is to store that it takes part in the first start.
func (c *Core) takesPartInFirstStart() bool {
	return c.cfg.Bootstrap && !c.cfg.Observer && c.acceptor.view.Epoch == 0
}

// loadFirstStart makes a node whose disk takes part in the first start, and holds no view, a part of it again.
func (c *Core) loadFirstStart(meta map[string][]byte) error {
	data, stored := meta[metaFirstStart]
	if !stored {
		c.writer.firstStartPending = c.takesPartInFirstStart()
		return nil
	}
	seeds := strings.Split(string(data), "\n")
	for _, seed := range seeds {
		if seed == "" {
			return damagedDataError(errors.New("it names no seed"), "the record of the first start")
		}
	}
	if c.acceptor.view.Epoch == 0 && !c.cfg.Observer && !c.cfg.knobs.ForgetFirstStart {
		c.cfg.Bootstrap, c.cfg.Seeds = true, seeds
	}
	return nil
}

// startSaveFirstStart writes that this node takes part in the first start.
func (dw *diskWriter) startSaveFirstStart() {
	data := []byte(strings.Join(dw.cfg.Seeds, "\n"))
	dw.beginWrite(&DiskOp{Kind: DiskSaveMeta, Name: metaFirstStart, Data: data}, func(err error) {
		dw.firstStartPending = err != nil
	})
}
