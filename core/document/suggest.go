package document

import (
	"slices"
	"strings"
)

func contains(list []string, one string) bool { return slices.Contains(list, one) }

// didYouMean suggests the entry of known that is nearest to name, if one is
// near enough; else it lists a short known.
func didYouMean(name string, known []string) string {
	const maxListed = 12
	best, bestDistance := "", len(name)/3+2
	for _, k := range known {
		if max(len(k)-len(name), len(name)-len(k)) >= bestDistance {
			continue
		}
		if d := distance(clip(name), k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	switch {
	case best != "":
		return "did you mean " + best + "?"
	case len(known) > 0 && len(known) <= maxListed:
		return "known: " + strings.Join(known, ", ")
	}
	return ""
}

// distance is the number of single-byte edits that turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
