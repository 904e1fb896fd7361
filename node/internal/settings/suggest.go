package settings

import (
	"slices"
	"strconv"
	"strings"
)

// maxSuggestionDistance is the maximum edit distance between an unknown setting
// and the suggested one.
const maxSuggestionDistance = 3

// suggest returns a "did you mean" hint with the known setting that is most
// similar to path, or "" if none is similar.
func (f *fileReader) suggest(path string) string {
	var paths []string
	for knownPath := range f.knownPaths {
		paths = append(paths, knownPath)
	}
	slices.Sort(paths)
	best, bestDistance := "", maxSuggestionDistance+1
	for _, knownPath := range paths {
		if d := editDistance(path, knownPath); d < bestDistance {
			best, bestDistance = knownPath, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
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

// valueError returns the text of err without the prefix that the flag package
// adds to the error of a value.
func valueError(err error) string {
	text := err.Error()
	if _, reason, ok := strings.Cut(text, "error setting flag "); ok {
		if _, detail, ok := strings.Cut(reason, ": "); ok {
			return detail
		}
	}
	return text
}

func itoa(n int) string { return strconv.Itoa(n) }
