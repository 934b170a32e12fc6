package main

// The tests in this file check the requirements of the operators' full-size bench
// (docs/design/standing.md): the proxy is built with cgo and the external linker, so that
// it is linked dynamically against the C library, and it contains no code that starts
// another program, forks, or moves bytes by splice, sendfile or io_uring. The tests read
// the deploy file, the import graph and the built binary; they never start the proxy.

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

// TestBuildLineLinksExternally checks in deploy/balancer.toml that the build line enables
// cgo and the external linker, and that the run line replaces the shell by exec.
func TestBuildLineLinksExternally(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	require.NoError(t, err)
	build := regexp.MustCompile(`(?m)^build = "([^"]*)"`).FindSubmatch(raw)
	require.NotNil(t, build, "deploy/balancer.toml: no build line")
	require.Contains(t, string(build[1]), "CGO_ENABLED=1")
	require.Contains(t, string(build[1]), "-ldflags=-linkmode=external")
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	require.NotNil(t, run, "deploy/balancer.toml: no run line")
	require.True(t, strings.HasPrefix(string(run[1]), "exec "), "the run line must start a single process by exec: %q", run[1])
	require.NotContains(t, string(run[1]), "&", "run must not start a second process")
	require.NotContains(t, string(run[1]), "|", "run must not start a second process")
}

// forbiddenPackages lists packages that make system calls which the bench's filter rejects:
// they start programs or load code from disk.
var forbiddenPackages = []string{"os/exec", "plugin"}

// TestProxyImportsNoForbiddenPackage checks the import graph of the proxy.
func TestProxyImportsNoForbiddenPackage(t *testing.T) {
	if _, err := exec.LookPath("go"); err != nil {
		t.Fatalf("the go tool is needed to read the import graph: %v", err)
	}
	out, err := exec.Command("go", "list", "-deps", "saddleport/cmd/saddleport").Output()
	require.NoError(t, err)
	deps := strings.Fields(string(out))
	require.Contains(t, deps, "saddleport/internal/exchange", "the import graph must contain the exchange")
	for _, p := range forbiddenPackages {
		require.NotContains(t, deps, p, "the proxy imports %s", p)
	}
}

// forbiddenCalls matches calls that fork, start a program or move bytes between file
// descriptors inside the kernel.
var forbiddenCalls = regexp.MustCompile(`\b(syscall\.ForkExec|syscall\.Exec|os\.StartProcess|unix\.Splice|unix\.Sendfile|syscall\.Sendfile|syscall\.Splice|unix\.Tee|io_uring|unix\.Fork)\b`)

// TestProxySourceMakesNoForbiddenCall searches the Go files of this module's packages that
// the proxy imports, without their tests.
func TestProxySourceMakesNoForbiddenCall(t *testing.T) {
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
				if m := forbiddenCalls.Find(line); m != nil {
					t.Errorf("%s:%d calls %s, which the bench's system-call filter rejects", f, i+1, m)
				}
			}
		}
	}
}

// TestBuiltProxyIsDynamic checks that bin/saddleport, as the deploy build made it, names an
// interpreter and needs libc. CI runs the build before the tests; elsewhere the test is
// skipped if the binary is missing.
func TestBuiltProxyIsDynamic(t *testing.T) {
	path := filepath.Join(root, "bin", "saddleport")
	if _, err := os.Stat(path); err != nil {
		if os.Getenv("CI") != "" {
			t.Fatalf("%s is missing, although CI runs the deploy build before the tests", path)
		}
		t.Skipf("%s is not built; run the deploy build", path)
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
	require.True(t, interp, "%s has no interpreter: it is linked statically", path)
	libs, err := f.ImportedLibraries()
	require.NoError(t, err)
	libc := false
	for _, l := range libs {
		if strings.HasPrefix(l, "libc.so") {
			libc = true
		}
	}
	require.True(t, libc, "%s does not need libc; its libraries: %v", path, libs)
}
