package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Valid entries are found by test and by command; an invalid file is an error that names the line.
func TestKnownRed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	check := func(text string, args ...string) (string, int, error) {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		var out bytes.Buffer
		exit, err := run(append([]string{file}, args...), &out)
		return out.String(), exit, err
	}
	valid := "TestOld, seen once, twice, issue 7\n\n" +
		"soak, target/saddlectl soak --seed 7 (seed 7), DRAIN, issue 8\n" +
		"TestNew, go test -run TestNew ./x (no seed), a hang, issue 9\n"
	out, exit, err := check(valid, "tests")
	require.NoError(t, err)
	require.Zero(t, exit)
	require.Equal(t, "TestOld\nTestNew\n", out)
	for command, want := range map[string]int{"target/saddlectl soak --seed 7": 0, "target/saddlectl soak --seed 8": exitNotListed, "": exitNotListed} {
		_, exit, err = check(valid, "lists", command)
		require.NoError(t, err)
		require.Equal(t, want, exit, command)
	}
	for text, want := range map[string]error{
		"TestOld":                                         errFields,
		"TestOld, seen, issue":                            errIssue,
		"soak, a command, seen, issue 8":                  errCommand,
		"soak, a command (seed x), seen, issue 8":         errCommand,
		"soak, a command (seed 8), issue 8":               errCommand,
		"TestOld, seen, issue 7\nTestOld, again, issue 7": errDuplicated,
		manyEntries(maxGoTests + 1):                       errTooMany,
	} {
		_, exit, err = check(text, "tests")
		require.ErrorIs(t, err, want, text)
		require.Equal(t, exitInvalid, exit)
	}
	_, exit, err = check("x", "unknown")
	require.Error(t, err)
	require.Equal(t, exitInvalid, exit)
}

func manyEntries(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "Test%d, seen, issue 7\n", i)
	}
	return text.String()
}
