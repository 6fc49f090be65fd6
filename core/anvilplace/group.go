package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// group is a set of nodes in which tasks can be placed: those of one rack, or all.
type group struct {
	name anvilid.RackName // empty for the group of all nodes
	// nodes are ordered by the ids of their targets.
	nodes []*node
	// byFree has the same nodes in the order in which to fill them, see compareFree.
	byFree []*node
	// freeAccelerators is the number of free accelerators of all nodes. No search can place tasks that
	// need more than this on the free resources of the group.
	freeAccelerators anvilid.AcceleratorCount
}

// compareFree orders nodes by their free accelerators and processors, the fullest nodes first, so that
// empty nodes stay empty.
func compareFree(a, b *node) int {
	return cmp.Or(cmp.Compare(a.free.GPU, b.free.GPU), cmp.Compare(a.free.CPU, b.free.CPU), cmp.Compare(a.index, b.index))
}

// sortByFree computes byFree and freeAccelerators from nodes.
func (g *group) sortByFree() {
	g.byFree = slices.Clone(g.nodes)
	slices.SortFunc(g.byFree, compareFree)
	g.freeAccelerators = 0
	for _, n := range g.nodes {
		g.freeAccelerators += max(0, n.free.GPU)
	}
}

// withFreeAccelerators returns the nodes with at least this number of free accelerators, in the order in
// which to fill them.
func (g *group) withFreeAccelerators(count anvilid.AcceleratorCount) []*node {
	if count <= 0 {
		return g.byFree
	}
	first, _ := slices.BinarySearchFunc(g.byFree, count, func(n *node, count anvilid.AcceleratorCount) int {
		return cmp.Or(cmp.Compare(n.free.GPU, count), 1)
	})
	return g.byFree[first:]
}

// reduceFree calls reduce, which must only subtract from the free resources of one node of the group, and
// then updates byFree and freeAccelerators.
func reduceFree(n *node, groups []*group, reduce func()) {
	var before [2]int
	for i, g := range groups {
		before[i], _ = slices.BinarySearchFunc(g.byFree, n, compareFree)
	}
	accelerators := max(0, n.free.GPU)
	reduce()
	for i, g := range groups {
		g.freeAccelerators -= accelerators - max(0, n.free.GPU)
		old := before[i]
		now, _ := slices.BinarySearchFunc(g.byFree[:old], n, compareFree)
		copy(g.byFree[now+1:old+1], g.byFree[now:old])
		g.byFree[now] = n
	}
}
