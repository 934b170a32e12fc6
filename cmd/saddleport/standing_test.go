package main

// This file holds the mixer to what the operators' full-size bench needs of a
// process (docs/design/standing.md): built with cgo and the external linker so
// that it is linked dynamically against the C library, and nothing in it that
// starts another program, forks, or moves bytes by splice, sendfile or
// io_uring. It reads the deploy file, the import graph and the built binary;
// it must never start the mixer.

import (
	"bytes"
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// TestBuildLineLinksExternally reads deploy/balancer.toml: the build turns cgo
// on and asks for the external linker, and run ends by exec.
func TestBuildLineLinksExternally(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	require.NoError(t, err)
	build := regexp.MustCompile(`(?m)^build = "([^"]*)"`).FindSubmatch(raw)
	require.NotNil(t, build, "deploy/balancer.toml: no build line")
	require.Contains(t, string(build[1]), "CGO_ENABLED=1")
	require.Contains(t, string(build[1]), "-ldflags=-linkmode=external")
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	require.NotNil(t, run, "deploy/balancer.toml: no run line")
	require.True(t, strings.HasPrefix(string(run[1]), "exec "), "run must end in one process by exec: %q", run[1])
	require.NotContains(t, string(run[1]), "&", "run must not start a second process")
	require.NotContains(t, string(run[1]), "|", "run must not start a second process")
}

// refused are the packages whose use the bench's system-call filter refuses:
// they start programs or load code from disk.
var refused = []string{"os/exec", "plugin"}

// TestMixerImportsNothingRefused walks the mixer's import graph.
func TestMixerImportsNothingRefused(t *testing.T) {
	if _, err := exec.LookPath("go"); err != nil {
		t.Fatalf("the go tool is needed to read the import graph: %v", err)
	}
	out, err := exec.Command("go", "list", "-deps", "saddleport/cmd/saddleport").Output()
	require.NoError(t, err)
	deps := strings.Fields(string(out))
	require.Contains(t, deps, "saddleport/internal/exchange", "the graph looks wrong")
	for _, p := range refused {
		require.NotContains(t, deps, p, "the mixer imports %s", p)
	}
}

// forbidden are calls in the mixer's own code that fork, start a program or
// hand bytes between descriptors in the kernel.
var forbidden = regexp.MustCompile(`\b(syscall\.ForkExec|syscall\.Exec|os\.StartProcess|unix\.Splice|unix\.Sendfile|syscall\.Sendfile|syscall\.Splice|unix\.Tee|io_uring|unix\.Fork)\b`)

// TestMixerSourceCallsNothingRefused reads the Go files of the mixer's own
// packages (tests aside).
func TestMixerSourceCallsNothingRefused(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if .Module}}{{if eq .Module.Path \"saddleport\"}}{{.Dir}}{{end}}{{end}}", "saddleport/cmd/saddleport").Output()
	require.NoError(t, err)
	dirs := strings.Fields(string(out))
	require.Greater(t, len(dirs), 5)
	for _, d := range dirs {
		files, err := filepath.Glob(filepath.Join(d, "*.go"))
		require.NoError(t, err)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			src, err := os.ReadFile(f)
			require.NoError(t, err)
			for i, line := range bytes.Split(src, []byte("\n")) {
				if m := forbidden.Find(line); m != nil {
					t.Errorf("%s:%d calls %s, which the standing bench refuses", f, i+1, m)
				}
			}
		}
	}
}

// TestBuiltMixerIsDynamic reads bin/saddleport as the deploy build left it:
// an interpreter and libc among the needed libraries. CI builds before it
// tests; elsewhere a missing binary is told, not failed.
func TestBuiltMixerIsDynamic(t *testing.T) {
	path := filepath.Join(root, "bin", "saddleport")
	if _, err := os.Stat(path); err != nil {
		if os.Getenv("CI") != "" {
			t.Fatalf("CI runs the deploy build first, and %s is missing", path)
		}
		t.Skipf("%s not built; run the deploy build", path)
	}
	f, err := elf.Open(path)
	require.NoError(t, err)
	defer f.Close()
	interp := false
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			interp = true
		}
	}
	require.True(t, interp, "%s has no interpreter: linked statically", path)
	libs, err := f.ImportedLibraries()
	require.NoError(t, err)
	libc := false
	for _, l := range libs {
		if strings.HasPrefix(l, "libc.so") {
			libc = true
		}
	}
	require.True(t, libc, "%s does not need libc: %v", path, libs)
}
