package anvilslot

// targetHeap has the target with the most free slots on top, and among
// equals the least recently used one.
type targetHeap []*target

func (h targetHeap) Len() int { return len(h) }

func (h targetHeap) Less(i, j int) bool {
	if h[i].free != h[j].free {
		return h[i].free > h[j].free
	}
	if h[i].used != h[j].used {
		return h[i].used < h[j].used
	}
	return h[i].id < h[j].id
}

func (h targetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *targetHeap) Push(x any) {
	t := x.(*target)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *targetHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// recency lists targets by the time of their latest report. Silent targets
// are the ones before heard.
type recency struct {
	oldest, newest *target
	heard          *target
}

func (r *recency) firstHeard() *target { return r.heard }

// touch moves a target to the newest end.
func (r *recency) touch(t *target) {
	r.remove(t)
	t.older, t.newer = r.newest, nil
	if r.newest != nil {
		r.newest.newer = t
	} else {
		r.oldest = t
	}
	r.newest = t
	if r.heard == nil {
		r.heard = t
	}
	t.inRecencyList = true
}

func (r *recency) remove(t *target) {
	if !t.inRecencyList {
		return
	}
	if r.heard == t {
		r.heard = t.newer
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
	t.older, t.newer, t.inRecencyList = nil, nil, false
}
