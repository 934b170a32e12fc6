package record

// This file writes and reads run folders: the scenario, the machine and the results.

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"github.com/parquet-go/parquet-go"

	"saddleport/internal/lab/judge"
)

// The files of a run folder.
const (
	QueriesFile  = "queries.parquet"
	SecondsFile  = "seconds.parquet"
	RunFile      = "run.parquet"
	SummaryFile  = "summary.json"
	ScenarioFile = "scenario.ini"
	MachineFile  = "machine.json"
	DigestFile   = "digest"
)

// Environment describes the build and machine of a run.
type Environment struct {
	Go, OS, Arch, Build string
	CPUs                int
	Machine             Machine
}

// currentEnvironment describes this build and machine.
func currentEnvironment(m Machine) Environment {
	w := Environment{Go: runtime.Version(), OS: runtime.GOOS, Arch: runtime.GOARCH, CPUs: runtime.NumCPU(), Build: "unknown", Machine: m}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				w.Build = s.Value
			}
			if s.Key == "vcs.modified" && s.Value == "true" {
				w.Build += "+"
			}
		}
	}
	return w
}

// Saved is the content of SummaryFile: a run without its rows and its machine.
type Saved struct {
	Summary Summary
	Classes []Class
	Verdict *judge.Verdict
	Events  []Event
	Broken  []string
	Unmet   []string
	LengthS float64
	WarmupS float64
}

func encodeRows[T any](list []T) ([]byte, error) {
	var b bytes.Buffer
	w := parquet.NewGenericWriter[T](&b, parquet.Compression(&parquet.Zstd))
	if _, err := w.Write(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Files returns the run's files whose bytes depend only on scenario, seed and build,
// by name.
func (r *Run) Files() (map[string][]byte, error) {
	out := make(map[string][]byte)
	var err error
	if out[QueriesFile], err = encodeRows(r.Queries); err != nil {
		return nil, err
	}
	if out[SecondsFile], err = encodeRows(r.Seconds); err != nil {
		return nil, err
	}
	if out[RunFile], err = encodeRows([]Summary{r.Summary}); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(Saved{r.Summary, r.Classes, r.Verdict, r.Events, r.Broken, r.Unmet(), r.Length.Seconds(), r.Warmup.Seconds()}, "", "  ")
	out[SummaryFile] = append(text, '\n')
	return out, err
}

// Digest returns a hash of the files that Files returns: the first 128 bits of SHA-256,
// in hexadecimal.
func Digest(files map[string][]byte) string {
	h := sha256.New()
	for _, name := range []string{QueriesFile, SecondsFile, RunFile, SummaryFile} {
		fmt.Fprintf(h, "%s %d\n", name, len(files[name]))
		h.Write(files[name])
	}
	return fmt.Sprintf("%x", h.Sum(nil))[:32]
}

// Save writes a run folder completely or not at all. It writes a temporary folder
// beside dir and renames it, so that a full disk or an interrupt leaves no incomplete
// folder. It returns the digest of the files that depend only on scenario, seed and
// build.
func (r *Run) Save(dir, scenario string) (digest string, err error) {
	files, err := r.Files()
	if err != nil {
		return "", err
	}
	digest = Digest(files)
	files[ScenarioFile] = []byte(scenario)
	files[DigestFile] = []byte(digest + "\n")
	if files[MachineFile], err = json.MarshalIndent(currentEnvironment(r.Machine), "", "  "); err != nil {
		return "", err
	}
	if err := os.MkdirAll(filepath.Dir(filepath.Clean(dir)), 0o755); err != nil {
		return "", err
	}
	tmp, err := os.MkdirTemp(filepath.Dir(filepath.Clean(dir)), ".run-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(tmp)
	for name, text := range files {
		if err := writeFile(filepath.Join(tmp, name), text); err != nil {
			return "", err
		}
	}
	if err := os.Chmod(tmp, 0o755); err != nil {
		return "", err
	}
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	return digest, os.Rename(tmp, dir)
}

// createFile creates a file of a run folder. A test replaces it to simulate a full disk.
var createFile = func(name string) (io.WriteCloser, error) { return os.Create(name) }

func writeFile(name string, text []byte) error {
	f, err := createFile(name)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}

// Load reads a run folder. The machine is left zero if its file cannot be read.
func Load(dir string) (*Run, *Saved, error) {
	text, err := os.ReadFile(filepath.Join(dir, SummaryFile))
	if err != nil {
		return nil, nil, fmt.Errorf("%s is no run folder: %w", dir, err)
	}
	var s Saved
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", filepath.Join(dir, SummaryFile), err)
	}
	r := &Run{Summary: s.Summary, Classes: s.Classes, Verdict: s.Verdict, Events: s.Events, Broken: s.Broken,
		Length: durationOf(s.LengthS), Warmup: durationOf(s.WarmupS)}
	if r.Queries, err = parquet.ReadFile[Query](filepath.Join(dir, QueriesFile)); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", filepath.Join(dir, QueriesFile), err)
	}
	if r.Seconds, err = parquet.ReadFile[Second](filepath.Join(dir, SecondsFile)); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", filepath.Join(dir, SecondsFile), err)
	}
	var where Environment
	if text, err := os.ReadFile(filepath.Join(dir, MachineFile)); err == nil && json.Unmarshal(text, &where) == nil {
		r.Machine = where.Machine
	}
	return r, &s, nil
}

// DescribeMachine returns the build and machine of the run in a folder as text.
func DescribeMachine(dir string) string {
	var w Environment
	text, err := os.ReadFile(filepath.Join(dir, MachineFile))
	if err != nil || json.Unmarshal(text, &w) != nil {
		return "an unknown machine"
	}
	return fmt.Sprintf("%s on %s/%s, %d cores, build %.12s", w.Go, w.OS, w.Arch, w.CPUs, w.Build)
}
