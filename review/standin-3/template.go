package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
)

// fields are the settings that the platform fills a template with.
type fields map[string]any

// frame is the context of a section: its entry, the key of the entry, and whether another one follows.
type frame struct {
	value any
	key   string
	last  bool
}

var placeholder = regexp.MustCompile(`\{\{([#^]?)([^{}]+)\}\}`)

// render fills in a template as the platform's deployment page describes.
func render(path string, f fields) (string, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return expand(string(src), []frame{{value: map[string]any(f)}})
}

func expand(src string, stack []frame) (string, error) {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(src)
		if at == nil {
			out.WriteString(src)
			return out.String(), nil
		}
		out.WriteString(src[:at[0]])
		kind, name := src[at[2]:at[3]], src[at[4]:at[5]]
		src = src[at[1]:]
		if kind == "" {
			out.WriteString(text(name, stack))
			continue
		}
		end := "{{/" + name + "}}"
		i := strings.Index(src, end)
		if i < 0 {
			return "", fmt.Errorf("the section %s has no end", name)
		}
		body := src[:i]
		src = src[i+len(end):]
		for _, inner := range entries(kind, lookup(name, stack)) {
			s, err := expand(body, append(stack, inner))
			if err != nil {
				return "", err
			}
			out.WriteString(s)
		}
	}
}

// entries returns the frames for which a section is rendered.
func entries(kind string, v any) []frame {
	absent := v == nil || v == false
	if kind == "^" {
		if absent {
			return []frame{{}}
		}
		return nil
	}
	switch v := v.(type) {
	case []any:
		var out []frame
		for i, e := range v {
			out = append(out, frame{value: e, key: fmt.Sprint(i), last: i == len(v)-1})
		}
		return out
	case map[string]any:
		var keys []string
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out []frame
		for i, k := range keys {
			out = append(out, frame{value: v[k], key: k, last: i == len(keys)-1})
		}
		return out
	}
	if absent {
		return nil
	}
	return []frame{{value: v, last: true}}
}

func lookup(name string, stack []frame) any {
	if name == "." {
		return stack[len(stack)-1].value
	}
	parts := strings.Split(name, ".")
	for i := len(stack) - 1; i >= 0; i-- {
		if v, ok := member(stack[i].value, parts); ok {
			return v
		}
	}
	return nil
}

func member(v any, parts []string) (any, bool) {
	for _, p := range parts {
		switch c := v.(type) {
		case map[string]any:
			next, ok := c[p]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			var n int
			if _, err := fmt.Sscan(p, &n); err != nil || n >= len(c) {
				return nil, false
			}
			v = c[n]
		default:
			return nil, false
		}
	}
	return v, true
}

func text(name string, stack []frame) string {
	top := stack[len(stack)-1]
	switch name {
	case "@":
		return top.key
	case ",":
		if top.last {
			return ""
		}
		return ","
	}
	name, asJSON := strings.CutSuffix(name, "|json")
	v := lookup(name, stack)
	if asJSON {
		b, _ := json.Marshal(v) // the fields hold nothing that cannot be encoded
		return string(b)
	}
	if v == nil {
		return ""
	}
	if _, table := v.(map[string]any); table {
		b, _ := json.Marshal(v)
		return string(b)
	}
	if f, ok := v.(float64); ok {
		return strings.TrimSuffix(fmt.Sprintf("%.3f", f), ".000")
	}
	return fmt.Sprint(v)
}

func writeFile(path, content string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(content), 0o644)
}
