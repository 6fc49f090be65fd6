package anvilplan

import (
	"math/bits"

	"anvilshunt/core/anvilid"
)

const (
	// workerSize is the largest number of accelerators of a target. A mask has one bit for each of them.
	workerSize = 8
	// MaxAccelerators is the largest number of accelerators that a gang may request.
	MaxAccelerators anvilid.AcceleratorCount = 64
	// maskCount is the number of different values of a mask.
	maskCount = 1 << workerSize
	// fullMask is the mask of a target with all workerSize accelerators in the set.
	fullMask = mask(maskCount - 1)
	// noFit is the value in cellTable.first for a block that doesn't fit in the mask.
	noFit = 0xff
)

// mask is a set of accelerators of one target, with bit i for accelerator i.
type mask uint8

func (m mask) count() int { return bits.OnesCount8(uint8(m)) }

// lowest returns a mask of the first n accelerators.
func lowest(n int) mask { return mask(1<<n - 1) }

// cellSize returns the size of the smallest cell with at least n accelerators, which is n rounded up to
// a power of two.
func cellSize(n int) int { return 1 << bits.Len(uint(n-1)) }

// block is a range of accelerators of one target that starts at a multiple of cellSize(count).
type block struct {
	target int32
	first  uint8
	count  uint8
}

func (b block) mask() mask { return lowest(int(b.count)) << b.first }

// cellTable has the best position for every size of a block in every set of available accelerators of
// a target. It is indexed by the size of the block and the mask of that set.
type cellTable struct {
	// first is the first accelerator of the block at its best position, or noFit.
	first [workerSize + 1][maskCount]uint8
	// splitCost is by how much cellValue of the mask drops if a block is placed at its best position.
	// It is high if a large cell is split.
	splitCost [workerSize + 1][maskCount]int32
	// largestBlock is the size of the largest block that fits in the mask.
	largestBlock [maskCount]uint8
}

// cells is the table that all planners use; it depends on no input.
var cells = newCellTable()

// cellValue returns the weighted number of cells that are entirely in a mask. Cells of each size weigh
// four times as much as those of half the size, so that splitting a large cell costs more than using
// up any number of smaller ones.
func cellValue(m mask) int32 {
	value, weight := int32(0), int32(1)
	for size := 1; size <= workerSize; size *= 2 {
		for first := 0; first < workerSize; first += size {
			if cell := lowest(size) << first; m&cell == cell {
				value += weight
			}
		}
		weight *= 4
	}
	return value
}

func newCellTable() *cellTable {
	t := &cellTable{}
	for n := 1; n <= workerSize; n++ {
		for m := range maskCount {
			t.first[n][m] = noFit
			for first := 0; first+n <= workerSize; first += cellSize(n) {
				used := lowest(n) << first
				if mask(m)&used != used {
					continue
				}
				cost := cellValue(mask(m)) - cellValue(mask(m)&^used)
				if t.first[n][m] == noFit || cost < t.splitCost[n][m] {
					t.first[n][m], t.splitCost[n][m] = uint8(first), cost
				}
			}
			if t.first[n][m] != noFit {
				t.largestBlock[m] = uint8(n)
			}
		}
	}
	return t
}
