package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	// File is the path of the file; empty if the content was given directly.
	File string
	// Line and Column count from 1.
	Line   int
	Column int
	// Field is the path of the field, for example "entries[0].limits.drain".
	Field string
	// Message says what is wrong.
	Message string
	// Remedy says what to write instead.
	Remedy string
}

// String returns place, field, message and remedy in one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	fmt.Fprintf(&b, "%d:%d: ", p.Line, p.Column)
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message + "; " + p.Remedy)
	return b.String()
}

// Error lists all problems of a file in the order of their lines.
type Error struct {
	Problems []Problem
}

// Error returns one problem a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func newError(problems []Problem) *Error {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return &Error{Problems: problems}
}

func tooLarge(file string, size int64) *Error {
	return newError([]Problem{{
		File:    file,
		Line:    1,
		Column:  1,
		Message: fmt.Sprintf("the file has %d bytes, the limit is %d", size, MaxFileBytes),
		Remedy:  "split it, or remove what is not needed",
	}})
}
