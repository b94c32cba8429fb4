package survey

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Field decodes the value of one member of an object.
type Field func(v *hujson.Value)

// Fields maps the names that an object may contain to the functions that decode their values.
type Fields map[string]Field

// Reader decodes one file of JSON with comments and adds its findings to a report.
type Reader struct {
	file   string
	src    []byte
	report *Report
}

// NewReader returns a reader of src whose findings have the file name file.
func NewReader(file string, src []byte, report *Report) *Reader {
	return &Reader{file: file, src: src, report: report}
}

// Parse returns the root value. If src is not JSON with comments, it adds a finding and returns false.
func (r *Reader) Parse() (*hujson.Value, bool) {
	if strings.TrimSpace(string(r.src)) == "" {
		r.addAt(0, "the file is empty; an object is expected")
		return nil, false
	}
	v, err := hujson.Parse(r.src)
	if err != nil {
		r.addSyntaxError(err)
		return nil, false
	}
	return &v, true
}

// Object decodes the members of an object, and adds findings for unknown, duplicate and missing names.
func (r *Reader) Object(v *hujson.Value, fields Fields, required ...string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.Addf(v, "an object is expected")
		return
	}
	seen := make(map[string]bool)
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			r.Addf(&m.Name, "key %q stands twice", name)
			continue
		}
		seen[name] = true
		field, known := fields[name]
		if !known {
			r.Addf(&m.Name, "key %q is unknown; known are %s", name, joinNames(fields))
			continue
		}
		field(&m.Value)
	}
	for _, name := range required {
		if !seen[name] {
			r.Addf(v, "key %q is missing", name)
		}
	}
}

// Array returns a Field that calls item for each element of an array.
func (r *Reader) Array(item Field) Field {
	return func(v *hujson.Value) {
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			r.Addf(v, "an array is expected")
			return
		}
		for i := range arr.Elements {
			item(&arr.Elements[i])
		}
	}
}

// String returns a Field that decodes a string of 1 to limit bytes.
func (r *Reader) String(dst *string, limit int) Field {
	return func(v *hujson.Value) {
		s, ok := r.stringValue(v)
		if !ok {
			return
		}
		if s == "" || len(s) > limit {
			r.Addf(v, "a string of 1 to %d bytes is expected", limit)
			return
		}
		*dst = s
	}
}

// Bool returns a Field that decodes true or false.
func (r *Reader) Bool(dst *bool) Field {
	return func(v *hujson.Value) {
		if err := json.Unmarshal(r.rawText(v), dst); err != nil {
			r.Addf(v, "true or false is expected")
		}
	}
}

// Int returns a Field that decodes an integer from low to high.
func (r *Reader) Int(dst *int, low, high int) Field {
	return func(v *hujson.Value) {
		var n int
		if err := json.Unmarshal(r.rawText(v), &n); err != nil || r.rawText(v)[0] == 'n' {
			r.Addf(v, "a whole number is expected")
			return
		}
		if n < low || n > high {
			r.Addf(v, "%d is out of range: %d to %d", n, low, high)
			return
		}
		*dst = n
	}
}

// Float returns a Field that decodes a number from low to high.
func (r *Reader) Float(dst *float64, low, high float64) Field {
	return func(v *hujson.Value) {
		var n float64
		if err := json.Unmarshal(r.rawText(v), &n); err != nil || math.IsNaN(n) || r.rawText(v)[0] == 'n' {
			r.Addf(v, "a number is expected")
			return
		}
		if n < low || n > high {
			r.Addf(v, "%g is out of range: %g to %g", n, low, high)
			return
		}
		*dst = n
	}
}

// Duration returns a Field that decodes a duration such as "1.5s" from low to high.
func (r *Reader) Duration(dst *time.Duration, low, high time.Duration) Field {
	return func(v *hujson.Value) {
		s, ok := r.stringValue(v)
		if !ok {
			return
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			r.Addf(v, "%q is not a duration such as \"250ms\"", s)
			return
		}
		if d < low || d > high {
			r.Addf(v, "%s is out of range: %s to %s", d, low, high)
			return
		}
		*dst = d
	}
}

// AddrPort returns a Field that decodes an IP address with a port.
func (r *Reader) AddrPort(dst *netip.AddrPort) Field {
	return func(v *hujson.Value) {
		s, ok := r.stringValue(v)
		if !ok {
			return
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			r.Addf(v, "%q is not an IP address with a port", s)
			return
		}
		*dst = a
	}
}

// Addf adds a finding at the position of v to the report.
func (r *Reader) Addf(v *hujson.Value, format string, args ...any) {
	r.addAt(v.StartOffset, fmt.Sprintf(format, args...))
}

func (r *Reader) stringValue(v *hujson.Value) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		r.Addf(v, "a string is expected")
		return "", false
	}
	return lit.String(), true
}

func (r *Reader) rawText(v *hujson.Value) []byte {
	return r.src[v.StartOffset:v.EndOffset]
}

func (r *Reader) addAt(offset int, text string) {
	line := 1 + strings.Count(string(r.src[:offset]), "\n")
	column := offset - strings.LastIndexByte(string(r.src[:offset]), '\n')
	r.report.Add(Finding{File: r.file, Line: line, Column: column, Text: text})
}

func (r *Reader) addSyntaxError(err error) {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		r.addAt(0, text)
		return
	}
	_, rest, _ := strings.Cut(text, ": ")
	_, rest, _ = strings.Cut(rest, ": ")
	r.report.Add(Finding{File: r.file, Line: line, Column: column, Text: rest})
}

func joinNames(fields Fields) string {
	var out []string
	for name := range fields {
		out = append(out, name)
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
