package dispatch

import "slices"

// IndexRange is a range of indices in the store: First, First+1, ..., End-1.
type IndexRange struct {
	First int `cbor:"1,keyasint,omitempty"`
	End   int `cbor:"2,keyasint"`
}

// indexSet is a set of indices. Its size is that of its gaps, not of its members.
// Invariant: the ranges are in order, are not empty, and do not touch each other.
type indexSet struct {
	ranges []IndexRange
	count  int
}

// search returns the position of the first range that ends after i.
func (s *indexSet) search(i int) int {
	n, _ := slices.BinarySearchFunc(s.ranges, i, func(r IndexRange, i int) int {
		if r.End <= i {
			return -1
		}
		return 1
	})
	return n
}

// contains reports whether i is a member.
func (s *indexSet) contains(i int) bool { return s.next(i) != i }

// next returns the lowest index that is not a member and not below i.
func (s *indexSet) next(i int) int {
	if n := s.search(i); n < len(s.ranges) && s.ranges[n].First <= i {
		return s.ranges[n].End
	}
	return i
}

// add adds i, which is not a member.
func (s *indexSet) add(i int) {
	s.count++
	n := s.search(i)
	touchesLast := n > 0 && s.ranges[n-1].End == i
	touchesNext := n < len(s.ranges) && s.ranges[n].First == i+1
	switch {
	case touchesLast && touchesNext:
		s.ranges[n-1].End = s.ranges[n].End
		s.ranges = slices.Delete(s.ranges, n, n+1)
	case touchesLast:
		s.ranges[n-1].End++
	case touchesNext:
		s.ranges[n].First--
	default:
		s.ranges = slices.Insert(s.ranges, n, IndexRange{First: i, End: i + 1})
	}
}

// newIndexSet returns the set of the members of stored ranges that are below limit. It ignores what
// violates the invariant, as another program may have written it.
func newIndexSet(stored []IndexRange, limit int) indexSet {
	var s indexSet
	last := -1
	for _, r := range stored {
		r.End = min(r.End, limit)
		if r.First <= last || r.First >= r.End {
			continue
		}
		s.ranges = append(s.ranges, r)
		s.count += r.End - r.First
		last = r.End
	}
	return s
}
