package berylreducer

// workerSet is a set of workers that allows a random choice, additions and removals in constant time.
type workerSet struct{ list []*workerState }

func (s *workerSet) add(w *workerState) {
	w.eligibleIndex = len(s.list)
	s.list = append(s.list, w)
}

func (s *workerSet) remove(w *workerState) {
	last := len(s.list) - 1
	moved := s.list[last]
	s.list[w.eligibleIndex] = moved
	moved.eligibleIndex = w.eligibleIndex
	s.list[last] = nil
	s.list = s.list[:last]
	w.eligibleIndex = notIndexed
}
