package backend

import (
	"container/heap"
	"container/list"
	"time"

	"filbertcross/internal/model"
)

// QueueLimits bounds the number and total size of the requests in a FairQueue.
type QueueLimits struct {
	Requests int
	Bytes    int64
}

// Item is one request waiting in a FairQueue.
type Item[T any] struct {
	ID          PermitID
	Branch      model.BranchID
	Share       int64   // weight of the branch, at least 1
	Cost        float64 // expected slot time in seconds
	Bytes       int64
	LatestStart time.Time // latest start with which the deadline can be met
	Value       T

	startTag float64 // virtual start time
}

// FairQueue orders waiting requests by start-time fair queueing: FIFO within a
// branch, and slot time in proportion to the shares among the branches with
// waiting requests. Not safe for concurrent use.
type FairQueue[T any] struct {
	limits         QueueLimits
	branches       map[model.BranchID]*branchQueue[T]
	activeBranches branchHeap[T] // branches with items, ordered by the start tag of the first item
	items          map[PermitID]*list.Element
	bytes          int64
	virtualTime    float64 // start tag of the last popped item
}

type branchQueue[T any] struct {
	id        model.BranchID
	share     int64
	items     list.List // of *Item[T]
	bytes     int64
	finishTag float64 // virtual finish time of the newest item
	heapIndex int     // -1: not in the heap
}

func (b *branchQueue[T]) head() *Item[T] { return b.items.Front().Value.(*Item[T]) }

// NewFairQueue returns an empty queue.
func NewFairQueue[T any](limits QueueLimits) *FairQueue[T] {
	return &FairQueue[T]{
		limits:   limits,
		branches: make(map[model.BranchID]*branchQueue[T]),
		items:    make(map[PermitID]*list.Element),
	}
}

// Push queues the item. When the queue is full, it evicts the newest items of the
// branch with the largest use of the queue relative to its share and returns
// them. If that is the item's own branch, the item is rejected and ok is false;
// so are a duplicate id and an item larger than the queue.
func (q *FairQueue[T]) Push(item Item[T]) (evicted []Item[T], ok bool) {
	if _, duplicate := q.items[item.ID]; duplicate {
		return nil, false
	}
	if q.limits.Requests < 1 || item.Bytes > q.limits.Bytes {
		return nil, false
	}
	for len(q.items) >= q.limits.Requests || q.bytes+item.Bytes > q.limits.Bytes {
		victim := q.largestBranch(item)
		if victim == nil || victim.id == item.Branch {
			return evicted, false
		}
		evicted = append(evicted, q.remove(victim.items.Back()))
	}
	q.append(item)
	return evicted, true
}

func (q *FairQueue[T]) append(item Item[T]) {
	b, ok := q.branches[item.Branch]
	if !ok {
		b = &branchQueue[T]{id: item.Branch, heapIndex: -1}
		q.branches[item.Branch] = b
	}
	b.share = max(1, item.Share)
	item.startTag = max(q.virtualTime, b.finishTag)
	b.finishTag = item.startTag + item.Cost/float64(b.share)
	b.bytes += item.Bytes
	q.bytes += item.Bytes
	q.items[item.ID] = b.items.PushBack(&item)
	if b.heapIndex < 0 {
		heap.Push(&q.activeBranches, b)
	}
}

// largestBranch returns the branch with the largest use of the queue relative to
// its share, counting the new item as queued. It returns nil if the item alone
// uses more than each of them.
func (q *FairQueue[T]) largestBranch(item Item[T]) *branchQueue[T] {
	var worst *branchQueue[T]
	var worstUse float64
	for _, b := range q.activeBranches {
		use := q.normalizedUse(b.items.Len(), b.bytes, b.share)
		if b.id == item.Branch {
			use = q.normalizedUse(b.items.Len()+1, b.bytes+item.Bytes, b.share)
		}
		if worst == nil || use > worstUse || (use == worstUse && b.id > worst.id) {
			worst, worstUse = b, use
		}
	}
	own := q.normalizedUse(1, item.Bytes, max(1, item.Share))
	if own > worstUse {
		return nil
	}
	return worst
}

// normalizedUse returns the used fraction of the queue's limits, divided by the share.
func (q *FairQueue[T]) normalizedUse(requests int, bytes int64, share int64) float64 {
	byCount := float64(requests) / float64(q.limits.Requests)
	byBytes := float64(bytes) / float64(q.limits.Bytes)
	return max(byCount, byBytes) / float64(share)
}

// Pop removes and returns the next request whose LatestStart has not passed.
// Expired requests ahead of it are removed and returned as late.
func (q *FairQueue[T]) Pop(now time.Time) (item Item[T], late []Item[T], ok bool) {
	for len(q.activeBranches) > 0 {
		b := q.activeBranches[0]
		finish := b.finishTag
		first := q.remove(b.items.Front())
		if now.After(first.LatestStart) {
			late = append(late, first)
			continue
		}
		b.finishTag = finish
		q.virtualTime = max(q.virtualTime, first.startTag)
		return first, late, true
	}
	return Item[T]{}, late, false
}

// Peek returns the next request in order, expired or not.
func (q *FairQueue[T]) Peek() (Item[T], bool) {
	if len(q.activeBranches) == 0 {
		return Item[T]{}, false
	}
	return *q.activeBranches[0].head(), true
}

// Expire removes and returns expired requests from the head of each branch.
func (q *FairQueue[T]) Expire(now time.Time) []Item[T] {
	var late []Item[T]
	for _, b := range append(branchHeap[T](nil), q.activeBranches...) {
		for b.items.Len() > 0 && now.After(b.head().LatestStart) {
			late = append(late, q.remove(b.items.Front()))
		}
	}
	return late
}

// Remove removes a canceled request and reports whether it was queued.
func (q *FairQueue[T]) Remove(id PermitID) bool {
	e, ok := q.items[id]
	if ok {
		q.remove(e)
	}
	return ok
}

func (q *FairQueue[T]) remove(e *list.Element) Item[T] {
	item := e.Value.(*Item[T])
	b := q.branches[item.Branch]
	newest := e == b.items.Back()
	b.items.Remove(e)
	b.bytes -= item.Bytes
	q.bytes -= item.Bytes
	delete(q.items, item.ID)
	if newest {
		b.finishTag = item.startTag // no item follows; release its virtual time
	}
	if b.items.Len() == 0 {
		heap.Remove(&q.activeBranches, b.heapIndex)
	} else {
		heap.Fix(&q.activeBranches, b.heapIndex)
	}
	return *item
}

// Len returns the number of waiting requests.
func (q *FairQueue[T]) Len() int { return len(q.items) }

// Bytes returns the total size of the waiting requests.
func (q *FairQueue[T]) Bytes() int64 { return q.bytes }

// RequestsAhead estimates how many requests are served before a new one of the
// branch. Other branches count with their shares if they have waiting requests or
// were served recently.
func (q *FairQueue[T]) RequestsAhead(branch model.BranchID, share int64) float64 {
	own := 0
	shares := max(1, share)
	for _, b := range q.branches {
		switch {
		case b.id == branch:
			own = b.items.Len()
		case b.items.Len() > 0 || b.finishTag > q.virtualTime:
			shares += b.share
		}
	}
	if len(q.items) == 0 {
		return 0
	}
	return float64(own+1) * float64(shares) / float64(max(1, share))
}

// PruneBranches removes branches without items whose virtual finish time has passed.
func (q *FairQueue[T]) PruneBranches() {
	for id, b := range q.branches {
		if b.items.Len() == 0 && b.finishTag <= q.virtualTime {
			delete(q.branches, id)
		}
	}
}

// branchHeap is a heap over the branches that have items.
type branchHeap[T any] []*branchQueue[T]

func (h branchHeap[T]) Len() int { return len(h) }

func (h branchHeap[T]) Less(i, j int) bool {
	// An empty branch sorts first: heap.Remove is about to take it out.
	if h[i].items.Len() == 0 || h[j].items.Len() == 0 {
		return h[i].items.Len() < h[j].items.Len()
	}
	a, b := h[i].head().startTag, h[j].head().startTag
	return a < b || (a == b && h[i].id < h[j].id)
}

func (h branchHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *branchHeap[T]) Push(x any) {
	b := x.(*branchQueue[T])
	b.heapIndex = len(*h)
	*h = append(*h, b)
}

// Pop implements heap.Interface.
func (h *branchHeap[T]) Pop() any {
	old := *h
	b := old[len(old)-1]
	*h = old[:len(old)-1]
	b.heapIndex = -1
	return b
}
