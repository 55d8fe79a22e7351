package settings

// closestName returns the name with the smallest edit distance from text. It returns
// false if that distance exceeds both 2 and a third of the length of text, because the
// name is then unlikely to be the intended one.
func closestName(text string, names []string) (string, bool) {
	best := ""
	bestEdits := max(len(text)/3, 2) + 1
	for _, name := range names {
		if edits := editDistance(text, name); edits < bestEdits {
			best, bestEdits = name, edits
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
