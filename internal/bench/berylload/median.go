package berylload

import "slices"

// median returns the middle value, or the larger one of the two middle values.
func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// medianOf returns the median of one field over the list.
func medianOf[T any](list []T, field func(T) float64) float64 {
	var v []float64
	for _, x := range list {
		v = append(v, field(x))
	}
	return median(v)
}

// medians returns the median of each figure over the passes.
func medians(list []requestFigures) requestFigures {
	return requestFigures{
		p50:            medianOf(list, func(r requestFigures) float64 { return r.p50 }),
		p99:            medianOf(list, func(r requestFigures) float64 { return r.p99 }),
		rate:           medianOf(list, func(r requestFigures) float64 { return r.rate }),
		perCore:        medianOf(list, func(r requestFigures) float64 { return r.perCore }),
		loadCPUPerCall: medianOf(list, func(r requestFigures) float64 { return r.loadCPUPerCall }),
		failed:         medianOf(list, func(r requestFigures) float64 { return r.failed }),
	}
}
