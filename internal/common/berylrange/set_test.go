package berylrange

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// elements lists a set of small numbers, and fails the test if its ranges are not in their only form.
func elements(t *rapid.T, s Set[int]) map[int]bool {
	out := make(map[int]bool)
	for i, r := range s.Ranges() {
		if r[0] > r[1] || i > 0 && r[0] <= s.Ranges()[i-1][1]+1 {
			t.Fatalf("odd ranges: %v", s.Ranges())
		}
		for n := r[0]; n <= r[1]; n++ {
			out[n] = true
		}
	}
	if len(out) != s.Len() {
		t.Fatalf("%d elements, Len is %d", len(out), s.Len())
	}
	return out
}

func drawSet(t *rapid.T) (Set[int], map[int]bool) {
	var s Set[int]
	want := make(map[int]bool)
	for range rapid.IntRange(0, 12).Draw(t, "steps") {
		first := rapid.IntRange(0, 20).Draw(t, "first")
		last := first + rapid.IntRange(-1, 6).Draw(t, "length")
		add := rapid.Bool().Draw(t, "add")
		if add {
			s = s.With(first, last)
		} else {
			s = s.Without(first, last)
		}
		for n := first; n <= last; n++ {
			want[n] = add
		}
	}
	for n, in := range want {
		if !in {
			delete(want, n)
		}
	}
	return s, want
}

// All operations must agree with those on a plain set: a lost element would be an occurrence that never runs.
func TestSetAgreesWithAPlainSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, inA := drawSet(t)
		b, inB := drawSet(t)
		first := rapid.IntRange(0, 20).Draw(t, "from")
		last := first + rapid.IntRange(-1, 8).Draw(t, "to")
		minus, and, within := elements(t, a.Minus(b)), elements(t, a.And(b)), elements(t, a.Within(first, last))
		seen := elements(t, a)
		for n := -1; n < 30; n++ {
			if a.Contains(n) != inA[n] || seen[n] != inA[n] {
				t.Fatalf("%d in %v", n, a.Ranges())
			}
			if minus[n] != (inA[n] && !inB[n]) || and[n] != (inA[n] && inB[n]) || within[n] != (inA[n] && first <= n && n <= last) {
				t.Fatalf("%d in the results for %v, %v, %d to %d", n, a.Ranges(), b.Ranges(), first, last)
			}
		}
		if !a.IsEmpty() && !inA[a.Min()] {
			t.Fatalf("%d is not the smallest element of %v", a.Min(), a.Ranges())
		}
	})
}

// A set with the largest number must not overflow.
func TestSetHoldsTheLargestNumber(t *testing.T) {
	s := Of([2]int8{120, 127}, [2]int8{-128, -1}, [2]int8{0, 0})
	assert.DeepEqual(t, s.Ranges(), [][2]int8{{-128, 0}, {120, 127}})
	assert.DeepEqual(t, s.Without(125, 127).Ranges(), [][2]int8{{-128, 0}, {120, 124}})
}
