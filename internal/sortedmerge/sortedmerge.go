// Package sortedmerge updates sorted lists without sorting them anew.
package sortedmerge

// Update returns a new list: the elements of list that are not removed, and those added.
// Both list and added must be sorted by compare, as the result is. An added element follows
// those of the list to which it is equal.
func Update[T any](list []T, removed func(T) bool, added []T, compare func(a, b T) int) []T {
	result := make([]T, 0, len(list)+len(added))
	for _, x := range list {
		if removed(x) {
			continue
		}
		for len(added) > 0 && compare(added[0], x) < 0 {
			result, added = append(result, added[0]), added[1:]
		}
		result = append(result, x)
	}
	return append(result, added...)
}
