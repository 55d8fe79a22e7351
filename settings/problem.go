package settings

import (
	"fmt"
	"sort"
	"strings"
)

// A Problem is one error in a settings or catalogue file.
type Problem struct {
	// File is the path of the file. It is empty if the content was passed directly.
	File string
	// Line and Column are counted from 1.
	Line   int
	Column int
	// Field is the path of the field, for example "entries[0].limits.drain".
	Field string
	// Message describes the error.
	Message string
	// Remedy describes how to correct it.
	Remedy string
}

// String returns the problem as one line: FILE:LINE:COLUMN: FIELD: MESSAGE; REMEDY.
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

// An Error holds all problems of a file, sorted by line and column.
type Error struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// newError sorts the problems in place and returns them as an *Error.
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
