// Command knownred reads KNOWN-RED.txt, the list of tests that fail because of known faults, for .ci/run.
//
//	knownred FILE tests            the names of the listed Go tests, one a line
//	knownred FILE lists COMMAND    exit status 0 if the command is listed, 1 if it is not
//
// It ends with status 2 and an error that names the line if the file is invalid. An entry is one line:
//
//	NAME, COMMAND (seed N), what was seen, issue N
//	NAME, COMMAND (no seed), what was seen, issue N
//	TestName, what was seen, issue N
//
// The name of a Go test begins with Test. The command must not contain ", ".
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
)

const (
	maxGoTests  = 3
	maxCommands = 20

	exitNotListed = 1
	exitInvalid   = 2
)

var (
	goTestName     = regexp.MustCompile(`^Test\w*$`)
	commandAndSeed = regexp.MustCompile(`^(\S.*) \((seed \d+|no seed)\)$`)
	issueField     = regexp.MustCompile(`^issue \d+$`)
)

// Errors of an invalid file.
var (
	errFields     = errors.New(`an entry is "NAME, COMMAND (seed N), what was seen, issue N" or "TestName, what was seen, issue N"`)
	errCommand    = errors.New(`the second field is not "COMMAND (seed N)" or "COMMAND (no seed)"`)
	errIssue      = errors.New(`the last field is not "issue N"`)
	errTooMany    = fmt.Errorf("at most %d Go tests and %d commands may be listed", maxGoTests, maxCommands)
	errDuplicated = errors.New("the name is listed twice")
)

// entry is one listed test.
type entry struct {
	name    string
	command string // empty: a Go test without a command
}

func (e entry) isGoTest() bool { return goTestName.MatchString(e.name) }

// parseEntry parses one line.
func parseEntry(line string) (entry, error) {
	fields := strings.Split(line, ", ")
	if len(fields) < 3 {
		return entry{}, errFields
	}
	if !issueField.MatchString(fields[len(fields)-1]) {
		return entry{}, errIssue
	}
	e := entry{name: strings.TrimSpace(fields[0])}
	if match := commandAndSeed.FindStringSubmatch(fields[1]); match != nil && len(fields) >= 4 {
		e.command = match[1]
	} else if !e.isGoTest() {
		return entry{}, errCommand
	}
	return e, nil
}

// parse parses a file. Empty lines are skipped.
func parse(file io.Reader) (entries []entry, err error) {
	names, goTests := make(map[string]bool), 0
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		e, err := parseEntry(line)
		if err == nil && names[e.name] {
			err = errDuplicated
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		names[e.name] = true
		if e.isGoTest() {
			goTests++
		}
		entries = append(entries, e)
	}
	if goTests > maxGoTests || len(entries)-goTests > maxCommands {
		return nil, errTooMany
	}
	return entries, lines.Err()
}

// lists reports whether a command is that of an entry.
func lists(entries []entry, command string) bool {
	for _, e := range entries {
		if e.command != "" && e.command == command {
			return true
		}
	}
	return false
}

func run(args []string, out io.Writer) (exit int, err error) {
	if len(args) < 2 || args[1] == "lists" && len(args) != 3 || args[1] != "lists" && args[1] != "tests" {
		return exitInvalid, errors.New("usage: knownred FILE tests | knownred FILE lists COMMAND")
	}
	file, err := os.Open(args[0])
	if err != nil {
		return exitInvalid, err
	}
	defer file.Close()
	entries, err := parse(file)
	if err != nil {
		return exitInvalid, fmt.Errorf("%s: %w", args[0], err)
	}
	if args[1] == "lists" {
		if !lists(entries, args[2]) {
			return exitNotListed, nil
		}
		return 0, nil
	}
	for _, e := range entries {
		if e.isGoTest() {
			fmt.Fprintln(out, e.name)
		}
	}
	return 0, nil
}

func main() {
	exit, err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exit)
}
