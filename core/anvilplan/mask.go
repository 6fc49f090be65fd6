package anvilplan

import (
	"math/bits"
	"slices"

	"anvilshunt/core/anvilid"
)

const (
	// workerSize is the largest number of accelerators of a target. A mask
	// has one bit for each.
	workerSize = 8
	// MaxAccelerators is the largest gang.
	MaxAccelerators anvilid.AcceleratorCount = 64
	// maskCount is the number of different masks.
	maskCount = 1 << workerSize
	whole     = mask(maskCount - 1)
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

// block is a run of accelerators of one target that starts at a multiple of
// its cell size.
type block struct {
	target int32
	first  uint8
	count  uint8
}

func (b block) mask() mask { return lowest(int(b.count)) << b.first }

// cellTable answers how to place a block in a target, for every size and
// mask.
type cellTable struct {
	// first is the best position of a block, or noFit.
	first [workerSize + 1][maskCount]uint8
	// order lists the masks in which a block fits, best first.
	order [workerSize + 1][]mask
	// widest is the largest block that fits.
	widest [maskCount]uint8
}

var cells = newCellTable()

// cellValue weighs the free cells in a mask. Each level weighs four times
// as much as the one below, so that splitting a large cell costs more than
// using up any smaller ones.
func cellValue(m mask) int {
	value, weight := 0, 1
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
		var damage [maskCount]int
		for m := range maskCount {
			t.first[n][m] = noFit
			for first := 0; first+n <= workerSize; first += cellSize(n) {
				used := lowest(n) << first
				if mask(m)&used != used {
					continue
				}
				cost := cellValue(mask(m)) - cellValue(mask(m)&^used)
				if t.first[n][m] == noFit || cost < damage[m] {
					t.first[n][m], damage[m] = uint8(first), cost
				}
			}
			if t.first[n][m] != noFit {
				t.order[n] = append(t.order[n], mask(m))
				t.widest[m] = uint8(n)
			}
		}
		slices.SortStableFunc(t.order[n], func(a, b mask) int {
			if damage[a] != damage[b] {
				return damage[a] - damage[b]
			}
			return a.count() - b.count()
		})
	}
	return t
}
