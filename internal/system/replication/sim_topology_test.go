package replication

import "fmt"

// topology is the size and the placement of a simulated system.
type topology struct {
	diskNodes, spares int
	losses            int // disks that may be lost at once
	zones             int
	observers         int // nodes without a disk, some of them seeds
	zoneLosses        int // zones that may be lost at once, with all their disks
}

// shapes are used in turn, by seed.
var shapes = [...]topology{
	{3, 0, 1, 3, 0, 0}, {5, 0, 2, 3, 0, 0}, {1, 0, 0, 1, 0, 0}, {4, 0, 1, 2, 0, 0}, {6, 0, 2, 3, 0, 0}, {3, 1, 1, 3, 0, 0}, {7, 0, 3, 4, 0, 0},
	{5, 1, 2, 3, 0, 0}, {9, 0, 3, 3, 0, 0}, {3, 2, 1, 1, 0, 0}, {4, 1, 1, 4, 0, 0}, {3, 0, 0, 1, 0, 0}, {6, 1, 2, 2, 0, 0}, {5, 2, 1, 2, 0, 0},
	{7, 1, 2, 3, 0, 0}, {1, 1, 0, 2, 0, 0}, {3, 0, 1, 2, 2, 0}, {5, 0, 2, 1, 0, 0}, {9, 0, 2, 4, 0, 0}, {4, 2, 1, 3, 1, 0},
}

// zoneSeeds is the first of the seeds that use the topologies that must tolerate the loss of a zone.
const zoneSeeds = 1 << 32

var zoneShapes = [...]topology{{6, 0, 1, 3, 0, 1}, {3, 0, 1, 3, 0, 1}, {6, 1, 2, 3, 0, 1}, {9, 0, 3, 3, 0, 1}, {7, 0, 1, 4, 1, 1}}

func topologyOf(seed uint64) topology {
	if seed >= zoneSeeds {
		return zoneShapes[seed%uint64(len(zoneShapes))]
	}
	return shapes[seed%uint64(len(shapes))]
}

// diskLossTopologies returns the topologies that must tolerate the loss of a disk.
func diskLossTopologies() []topology {
	var out []topology
	for _, s := range shapes {
		if s.losses > 0 {
			out = append(out, s)
		}
	}
	return out
}

func (s topology) machines() int { return s.diskNodes + s.spares + s.observers }

func (s topology) proxies() int { return 2 }

func (s topology) zone(i int) string { return fmt.Sprintf("z%d", i%s.zones) }

func (s topology) region(i int) string {
	if s.machines() > 3 && s.zones > 1 && i%2 == 1 {
		return "r1"
	}
	return "r0"
}

func (s topology) String() string {
	return fmt.Sprintf("%d keepers, %d spares, %d observers, %d losses, %d zones, %d may be lost", s.diskNodes, s.spares, s.observers, s.losses, s.zones, s.zoneLosses)
}
