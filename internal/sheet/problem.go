package sheet

import (
	"fmt"
	"strings"
)

// Problem is an error or a notice about a cell, a row or the whole sheet.
type Problem struct {
	Row     int    `json:"row,omitempty"`    // line number in the file; 0: the whole sheet
	Column  Column `json:"column,omitempty"` // empty: the whole row
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Row > 0 {
		fmt.Fprintf(&b, "row %d", p.Row)
	} else {
		b.WriteString("sheet")
	}
	if p.Column != "" {
		fmt.Fprintf(&b, ", column %s", p.Column)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, ", %q", p.Value)
	}
	return b.String() + ": " + p.Message
}

// Report holds the problems and notices found in a sheet.
type Report struct {
	Problems []Problem `json:"problems,omitempty"` // the sheet is invalid if there are any
	Notices  []Problem `json:"notices,omitempty"`  // worth checking; they do not make the sheet invalid
}

// Err returns an *InvalidError if the report has problems, or nil.
func (r Report) Err() error {
	if len(r.Problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: r.Problems}
}

// InvalidError is returned for a sheet with problems; no part of such a sheet is used.
type InvalidError struct {
	Problems []Problem
}

// Error returns the number of problems and each problem on its own line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("sheet: %d problems", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
