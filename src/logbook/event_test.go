package logbook

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCatalogueMatchesDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| event") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, e := range Catalogue() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Text, e.Advice))
	}
	require.Equal(t, want, rows)
}

// TestCatalogueIsComplete checks that Catalogue returns every declared event and that no number is used twice.
func TestCatalogueIsComplete(t *testing.T) {
	src, err := os.ReadFile("event.go")
	require.NoError(t, err)
	require.Len(t, Catalogue(), strings.Count(string(src), "= Event{"))
	seen := make(map[int]bool)
	for _, e := range Catalogue() {
		require.False(t, seen[e.Number], "number %d is used twice", e.Number)
		seen[e.Number] = true
	}
}

func TestWrite(t *testing.T) {
	var b bytes.Buffer
	NewLog(&b, "khulna-1").Write(MemberSuspected, F("peer", "mongla-1"))
	require.Contains(t, b.String(), "level=warn")
	require.Contains(t, b.String(), "process=khulna-1")
	require.Contains(t, b.String(), "peer=mongla-1")
	require.Contains(t, b.String(), fmt.Sprint("event=", MemberSuspected.Number))
}
