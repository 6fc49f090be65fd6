package anvilplan

import (
	"math/bits"

	"anvilshunt/core/anvilid"
)

const (
	// workerSize is the largest number of accelerators of a target. A mask has one bit for each.
	workerSize = 8
	// MaxAccelerators is the size of the largest gang.
	MaxAccelerators anvilid.AcceleratorCount = 64
	// maskCount is the number of different masks.
	maskCount = 1 << workerSize
	fullMask  = mask(maskCount - 1)
	// noFit marks masks in which a block doesn't fit.
	noFit = 0xff
)

// mask is a set of accelerators of one target.
type mask uint8

func (m mask) count() int { return bits.OnesCount8(uint8(m)) }

// lowest returns a mask of the first n accelerators.
func lowest(n int) mask { return mask(1<<n - 1) }

// cellSize returns the size of the smallest cell that holds n accelerators.
func cellSize(n int) int { return 1 << bits.Len(uint(n-1)) }

// block is a range of accelerators of one target that starts at a multiple of its cell size.
type block struct {
	target int32
	first  uint8
	count  uint8
}

func (b block) mask() mask { return lowest(int(b.count)) << b.first }

// cellTable tells, for every size of a block and every mask, how to place the block in the target.
type cellTable struct {
	// first is the best position of a block, or noFit.
	first [workerSize + 1][maskCount]uint8
	// splitCost is how much the value of the free cells drops if a block is placed at its best
	// position, see cellValue.
	splitCost [workerSize + 1][maskCount]int32
	// largestBlock is the size of the largest block that fits.
	largestBlock [maskCount]uint8
}

var cells = newCellTable()

// cellValue returns the weighted sum of the free cells in a mask. Each level weighs four times as
// much as the one below, so that splitting a large cell costs more than using up any number of
// smaller ones.
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
