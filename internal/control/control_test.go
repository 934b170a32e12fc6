package control

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestControl(t *testing.T) {
	defer goleak.VerifyNone(t)
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, func(args []string) (any, error) {
		if args[0] == "bad" {
			return nil, errors.New("unknown command")
		}
		return args, nil
	})
	require.NoError(t, err)
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	var got []string
	require.NoError(t, Call(path, &got, "hooks", "list"))
	require.Equal(t, []string{"hooks", "list"}, got)
	require.EqualError(t, Call(path, &got, "bad"), "unknown command")
	_, err = Listen(path, nil)
	require.ErrorContains(t, err, "another process answers there")
	s.Close()
	require.ErrorContains(t, Call(path, &got, "x"), "no proxy answers")

	// A socket left by a process that has ended is replaced; a regular file is not.
	ln, err := net.Listen("unix", path)
	require.NoError(t, err)
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	ln.Close()
	s, err = Listen(path, func([]string) (any, error) { return 1, nil })
	require.NoError(t, err)
	s.Close()
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err = Listen(path, nil)
	require.ErrorContains(t, err, "is not a socket")
	require.ErrorContains(t, Call("", nil), "names no socket")
}
