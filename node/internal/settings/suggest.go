package settings

import (
	"slices"
	"strconv"
	"strings"
)

// farthest is how many letters a suggestion may differ by.
const farthest = 3

// suggestion names the known setting that is nearest to path, if any is near.
func (f *fileReader) suggestion(path string) string {
	var paths []string
	for known := range f.known {
		paths = append(paths, known)
	}
	slices.Sort(paths)
	best, bestDistance := "", farthest+1
	for _, known := range paths {
		if d := distance(path, known); d < bestDistance {
			best, bestDistance = known, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// distance is the number of letters to add, drop or change to make a of b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}

// flagName returns the name of the flag for a setting's path.
func flagName(path string) string { return strings.NewReplacer(".", "-", "_", "-").Replace(path) }

// reasonOf drops what the flag package puts before a value's own error.
func reasonOf(err error) string {
	text := err.Error()
	if _, reason, ok := strings.Cut(text, "error setting flag "); ok {
		if _, inner, ok := strings.Cut(reason, ": "); ok {
			return inner
		}
	}
	return text
}

func itoa(n int) string { return strconv.Itoa(n) }
