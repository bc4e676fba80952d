package config

import "math"

const (
	// maxSuggestionDistance is the maximum edit distance between a word and its suggestion.
	maxSuggestionDistance = 2
	// maxComparedBytes is the maximum length of words that are compared. It bounds the cost of a comparison.
	maxComparedBytes = 64
)

// nearest returns the known word with the smallest edit distance from word, or "" if none is close enough to be suggested.
func nearest(word string, known []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, k := range known {
		if d := editDistance(word, k); d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes, or math.MaxInt if one of them is longer than maxComparedBytes.
func editDistance(a, b string) int {
	if len(a) > maxComparedBytes || len(b) > maxComparedBytes {
		return math.MaxInt
	}
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
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
