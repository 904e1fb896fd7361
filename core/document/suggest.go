package document

import (
	"slices"
	"strings"
)

func contains(list []string, s string) bool { return slices.Contains(list, s) }

// didYouMean returns a suggestion for a misspelt name: the entry of known with the
// smallest edit distance, if that is small for the length of name, or else all
// entries, if they are few.
func didYouMean(name string, known []string) string {
	const maxListed = 12
	best, bestDistance := "", len(name)/3+2
	for _, k := range known {
		if max(len(k)-len(name), len(name)-len(k)) >= bestDistance {
			continue
		}
		if d := editDistance(truncate(name), k); d < bestDistance {
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

// editDistance returns the Levenshtein distance between a and b, counted in bytes.
func editDistance(a, b string) int {
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
