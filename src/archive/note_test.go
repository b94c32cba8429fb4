package archive

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestChecksummedFile(t *testing.T) {
	folder := t.TempDir()
	got, err := ReadChecksummed(folder, "targets")
	require.NoError(t, err)
	require.Nil(t, got, "there is no file")
	for _, text := range []string{"a longer one", "short"} {
		require.NoError(t, WriteChecksummed(folder, "targets", []byte(text)))
		got, err = ReadChecksummed(folder, "targets")
		require.NoError(t, err)
		require.Equal(t, text, string(got))
	}
	// A write interrupted by a power loss must leave the previous value.
	require.NoError(t, os.WriteFile(filepath.Join(folder, "targets.new"), []byte("tor"), 0o600))
	got, err = ReadChecksummed(folder, "targets")
	require.NoError(t, err)
	require.Equal(t, "short", string(got))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "targets"), []byte("torn and more"), 0o600))
	_, err = ReadChecksummed(folder, "targets")
	require.True(t, CorruptionError.Has(err))
	require.Error(t, WriteChecksummed(filepath.Join(folder, "none"), "targets", nil))
}
