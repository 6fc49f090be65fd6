package anvilslot

// targetHeap is a heap of the targets of one service that have free slots. Its root is the target
// with the most free slots; among targets with equally many, the least recently used one.
type targetHeap []*target

func (h targetHeap) Len() int { return len(h) }

func (h targetHeap) Less(i, j int) bool {
	if h[i].free != h[j].free {
		return h[i].free > h[j].free
	}
	if h[i].lastUse != h[j].lastUse {
		return h[i].lastUse < h[j].lastUse
	}
	return h[i].id < h[j].id
}

func (h targetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *targetHeap) Push(x any) {
	t := x.(*target)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *targetHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = -1
	return t
}

// reportList is a linked list of targets ordered by the arrival time of their latest report. The
// targets before oldestLive have not reported within TargetLease; oldestLive is the first that has.
type reportList struct {
	oldest, newest *target
	oldestLive     *target
}

func (r *reportList) firstLive() *target { return r.oldestLive }

// moveToNewest moves a target to the newest end of the list, and adds it if it is not listed.
func (r *reportList) moveToNewest(t *target) {
	r.remove(t)
	t.older, t.newer = r.newest, nil
	if r.newest != nil {
		r.newest.newer = t
	} else {
		r.oldest = t
	}
	r.newest = t
	if r.oldestLive == nil {
		r.oldestLive = t
	}
	t.listed = true
}

func (r *reportList) remove(t *target) {
	if !t.listed {
		return
	}
	if r.oldestLive == t {
		r.oldestLive = t.newer
	}
	if t.older != nil {
		t.older.newer = t.newer
	} else {
		r.oldest = t.newer
	}
	if t.newer != nil {
		t.newer.older = t.older
	} else {
		r.newest = t.older
	}
	t.older, t.newer, t.listed = nil, nil, false
}
