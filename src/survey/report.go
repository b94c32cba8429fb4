package survey

import (
	"fmt"
	"sort"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors made of findings.
var Error = errs.Class("survey")

// Finding is one fault in a file, with its place; lines and columns count from 1.
type Finding struct {
	File   string
	Line   int
	Column int
	Text   string
}

// String returns the finding as file:line:column: text.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Report collects findings.
type Report struct {
	findings []Finding
}

// Add puts a finding into the report.
func (r *Report) Add(f Finding) { r.findings = append(r.findings, f) }

// Findings returns the findings in the order of their places.
func (r *Report) Findings() []Finding {
	out := append([]Finding(nil), r.findings...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Line != out[j].Line {
			return out[i].Line < out[j].Line
		}
		return out[i].Column < out[j].Column
	})
	return out
}

// Err returns nil for an empty report, else one error with a line for each finding.
func (r *Report) Err() error {
	if len(r.findings) == 0 {
		return nil
	}
	var lines []string
	for _, f := range r.Findings() {
		lines = append(lines, f.String())
	}
	return Error.New("%s", strings.Join(lines, "\n"))
}
