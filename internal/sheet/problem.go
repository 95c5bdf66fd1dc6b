package sheet

import (
	"fmt"
	"strings"
)

// Problem is one error or notice about a cell, a row or the whole sheet.
type Problem struct {
	Row     int    `json:"row,omitempty"`    // line of the file, the header included; 0: the whole sheet
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

// Report is what was found in a sheet.
type Report struct {
	Problems []Problem `json:"problems,omitempty"` // any of them makes the sheet unacceptable
	Notices  []Problem `json:"notices,omitempty"`  // worth a look, accepted all the same
}

// Err returns an *InvalidError if the report has problems, or nil.
func (r Report) Err() error {
	if len(r.Problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: r.Problems}
}

// InvalidError says that a sheet was refused whole.
type InvalidError struct {
	Problems []Problem
}

// Error lists every problem on a line of its own.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("sheet: %d problems", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
