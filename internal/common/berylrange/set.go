package berylrange

import "slices"

// Integer is the constraint of a set's elements.
type Integer interface {
	~int | ~int8 | ~int16 | ~int32 | ~int64
}

// Set is an immutable set of integers; its size in memory is that of its ranges. The zero value is the empty set.
type Set[N Integer] struct {
	// ranges holds the first and the last element of each range, in order. They don't touch each other.
	ranges [][2]N
}

// Of returns the set of all elements of the ranges, each of which is given by its first and its last element; empty ranges are allowed.
func Of[N Integer](ranges ...[2]N) Set[N] {
	var s Set[N]
	for _, r := range ranges {
		s = s.With(r[0], r[1])
	}
	return s
}

// Ranges returns the first and the last element of each range, in order; the caller must not change them.
func (s Set[N]) Ranges() [][2]N { return s.ranges }

// IsEmpty reports whether the set has no element.
func (s Set[N]) IsEmpty() bool { return len(s.ranges) == 0 }

// Len returns the number of elements.
func (s Set[N]) Len() int {
	n := 0
	for _, r := range s.ranges {
		n += int(r[1]-r[0]) + 1
	}
	return n
}

// Min returns the smallest element, or 0 for the empty set.
func (s Set[N]) Min() N {
	if s.IsEmpty() {
		return 0
	}
	return s.ranges[0][0]
}

// Contains reports whether n is an element.
func (s Set[N]) Contains(n N) bool {
	i := s.search(n)
	return i < len(s.ranges) && s.ranges[i][0] <= n
}

// With returns the set with the elements from first to last added.
func (s Set[N]) With(first, last N) Set[N] {
	if first > last {
		return s
	}
	// Ranges that only touch the new one are joined with it, too; the comparisons subtract so that they don't overflow.
	i, k := s.search(first), 0
	if i > 0 && s.ranges[i-1][1] == first-1 {
		i--
	}
	for k = i; k < len(s.ranges) && (s.ranges[k][0] <= last || s.ranges[k][0]-1 == last); k++ {
		first, last = min(first, s.ranges[k][0]), max(last, s.ranges[k][1])
	}
	return Set[N]{slices.Concat(s.ranges[:i], [][2]N{{first, last}}, s.ranges[k:])}
}

// Without returns the set without the elements from first to last.
func (s Set[N]) Without(first, last N) Set[N] {
	if first > last {
		return s
	}
	i := s.search(first)
	k, kept := i, make([][2]N, 0, 2)
	for ; k < len(s.ranges) && s.ranges[k][0] <= last; k++ {
		if r := s.ranges[k]; r[0] < first {
			kept = append(kept, [2]N{r[0], first - 1})
		}
		if r := s.ranges[k]; r[1] > last {
			kept = append(kept, [2]N{last + 1, r[1]})
		}
	}
	if i == k {
		return s
	}
	return Set[N]{slices.Concat(s.ranges[:i], kept, s.ranges[k:])}
}

// Within returns the elements from first to last.
func (s Set[N]) Within(first, last N) Set[N] {
	var out Set[N]
	if first > last {
		return out
	}
	for i := s.search(first); i < len(s.ranges) && s.ranges[i][0] <= last; i++ {
		out.ranges = append(out.ranges, [2]N{max(s.ranges[i][0], first), min(s.ranges[i][1], last)})
	}
	return out
}

// Minus returns the elements that are not in o.
func (s Set[N]) Minus(o Set[N]) Set[N] {
	for _, r := range o.ranges {
		s = s.Without(r[0], r[1])
	}
	return s
}

// And returns the elements that are in both sets.
func (s Set[N]) And(o Set[N]) Set[N] {
	var out Set[N]
	for _, r := range o.ranges {
		out.ranges = append(out.ranges, s.Within(r[0], r[1]).ranges...)
	}
	return out
}

// search returns the index of the first range that doesn't end before n.
func (s Set[N]) search(n N) int {
	i, _ := slices.BinarySearchFunc(s.ranges, n, func(r [2]N, n N) int {
		switch {
		case r[1] < n:
			return -1
		case r[1] > n:
			return 1
		}
		return 0
	})
	return i
}
