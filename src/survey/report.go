package survey

import (
	"fmt"
	"sort"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that Report.Err returns.
var Error = errs.Class("survey")

// Finding is an error at a position in a file. Lines and columns start at 1; columns count bytes.
type Finding struct {
	File   string
	Line   int
	Column int
	Text   string
}

// String returns the finding in the form "file:line:column: text".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Report collects findings.
type Report struct {
	findings []Finding
}

// Add adds a finding to the report.
func (r *Report) Add(f Finding) { r.findings = append(r.findings, f) }

// Findings returns the findings sorted by position.
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

// Err returns nil if the report is empty, and otherwise an error of class Error with one line per finding.
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
