package soak

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Invalid input must be reported in one line, end with exit code 2, and start no process.
func TestBadInput(t *testing.T) {
	Convey("Command lines that cannot be run", t, func() {
		dir := t.TempDir()
		file := filepath.Join(dir, "plan.toml")
		So(os.WriteFile(file, []byte("seed = 1\nlength = 3\n"), 0o644), ShouldBeNil)
		inUse := filepath.Join(dir, "out")
		So(os.MkdirAll(filepath.Join(inUse, "seed-1", "something"), 0o755), ShouldBeNil)
		programs := filepath.Join(dir, "programs")
		So(os.Mkdir(programs, 0o755), ShouldBeNil)
		for _, program := range []string{"proxy", "agent", "controlplane"} {
			So(os.WriteFile(filepath.Join(programs, program), []byte("#!/bin/false\n"), 0o755), ShouldBeNil)
		}
		for want, args := range map[string][]string{
			"length_s":                          {"--length", "0s"},
			"--processes":                       {"--processes", "lots"},
			"--seeds":                           {"--seeds", "0"},
			"changes":                           {"--changes", "-3"},
			"length: not known":                 {"--plan", file},
			"no such file":                      {"--plan", file + "x"},
			"--plan says":                       {"--plan", file, "--length", "3s"},
			"program is missing":                {"--programs", dir, "--out", filepath.Join(dir, "new")},
			"folder is in use: it is not empty": {"--programs", programs, "--out", inUse},
		} {
			command := Command()
			command.SilenceUsage, command.SilenceErrors = true, true
			command.SetArgs(args)
			command.SetOut(io.Discard)
			command.SetErr(io.Discard)
			err := command.Execute()
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
			So(ExitCode(err), ShouldEqual, 2)
		}
	})
}
