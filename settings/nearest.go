package settings

// nearestName returns the name with the fewest edits from text, if they are at
// most a third of the length of text, or two.
func nearestName(text string, names []string) (string, bool) {
	best := ""
	bestEdits := max(len(text)/3, 2) + 1
	for _, name := range names {
		if edits := editDistance(text, name); edits < bestEdits {
			best, bestEdits = name, edits
		}
	}
	return best, best != ""
}

// editDistance is the number of bytes to insert, delete or replace.
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
