package inifile

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Workers int           `ini:"workers" default:"4" range:"1..64"`
	Budget  time.Duration `ini:"budget" default:"3ms" range:"100us..1s"`
	Memory  Bytes         `ini:"memory" default:"4MiB" range:"64KiB..1GiB"`
	Rule    string        `ini:"rule" default:"skip" oneof:"skip refuse"`
	Points  []string      `ini:"points" oneof:"taken send"`
	On      bool          `ini:"on" default:"no"`
	Share   float64       `ini:"share" default:"0.5" range:"0..1"`
	Name    string        `ini:"name" need:"yes"`
}

func TestDecode(t *testing.T) {
	doc, err := Parse("x.ini", []byte("# head\n[a b]\nname = n ; why\nbudget=250us\nmemory = 1GiB\npoints = taken, send\non = yes\n"))
	require.NoError(t, err)
	var got sample
	require.NoError(t, doc.Sections[0].Decode(&got))
	require.Equal(t, sample{Workers: 4, Budget: 250 * time.Microsecond, Memory: 1 << 30, Rule: "skip",
		Points: []string{"taken", "send"}, On: true, Share: 0.5, Name: "n"}, got)
	require.Equal(t, "a", doc.Sections[0].Kind)
	require.Equal(t, "b", doc.Sections[0].Label)
	require.Equal(t, Field{Key: "memory", Value: "1GiB", Default: "4MiB", Range: "64KiB..1GiB", Kind: "size"}, Fields(&got)[2])
}

// A file that cannot be read to its end is not parsed in part.
func TestUnreadableFile(t *testing.T) {
	_, err := Read(t.TempDir())
	require.ErrorContains(t, err, "is a directory")
}

// Of several missing keys the first of the struct is reported, each time.
func TestFirstMissingKey(t *testing.T) {
	doc, err := Parse("x.ini", []byte("[s]\n"))
	require.NoError(t, err)
	for range 50 {
		err := doc.Sections[0].Decode(&struct {
			First  string `ini:"first" need:"yes"`
			Second string `ini:"second" need:"yes"`
		}{})
		require.ErrorContains(t, err, "first must be given")
	}
}

// Each error names the file, line, section and key.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[s]\nname=x\nworkrs=1":            "x.ini:3: [s] workrs: no such key here; is workers meant?",
		"[s]\nname=x\nworkers=65":          `x.ini:3: [s] workers: "65" is not within 1 to 64`,
		"[s]\nname=x\nworkers=1.5":         `x.ini:3: [s] workers: "1.5" is not a whole number`,
		"[s]\nname=x\nbudget=3":            `x.ini:3: [s] budget: "3" is not a duration with a unit (us, ms, s, m, h)`,
		"[s]\nname=x\nbudget=2s":           `x.ini:3: [s] budget: "2s" is not within 100us to 1s`,
		"[s]\nname=x\nmemory=3MB":          `x.ini:3: [s] memory: "3MB" is not a size with a unit (B, KiB, MiB, GiB)`,
		"[s]\nname=x\nrule=maybe":          `x.ini:3: [s] rule: "maybe" is none of: skip, refuse`,
		"[s]\nname=x\npoints=taken, later": `x.ini:3: [s] points: "later" is none of: taken, send`,
		"[s]\nname=x\npoints=send,send":    `x.ini:3: [s] points: "send" is listed twice`,
		"[s]\nname=x\non=1":                `x.ini:3: [s] on: "1" is neither yes nor no`,
		"[s]\nname=x\nshare=NaN":           `x.ini:3: [s] share: "NaN" is not a number`,
		"\n[s]\nrule=skip":                 `x.ini:2: [s]: name must be given`,
		"[s]\nname=x\nname=y":              `x.ini:3: [s] name: already set on line 2`,
		"[s]\nname=x\n[s]":                 `x.ini:3: [s]: already defined on line 1`,
		"name=x":                           `x.ini:1 name: is set before the first section`,
		"[s]\nwhat":                        `x.ini:2: "what" is neither a section nor key = value`,
		"[s\n":                             `x.ini:1: "[s" is not a section header`,
		"[DEFAULT]\n":                      `x.ini:1: "DEFAULT" is not a valid section name`,
		"[s]\nname=\"\"\"x\ny\"\"\"":       `x.ini:2: [s] name: a value must end on the line it starts on`,
	} {
		doc, err := Parse("x.ini", []byte(text))
		if err == nil {
			err = doc.Sections[0].Decode(&sample{})
		}
		require.EqualError(t, err, want, text)
	}
}

// Parsing any text ends with a document or an error, and each section and key of the document is
// on the line that it gives.
func FuzzParse(f *testing.F) {
	f.Add("[log]\nlevel = info\n\n[hooks]\ndir = x # y\n")
	f.Add("[a]\nb=\"c\"\nd='e'\n;f\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		lines := strings.Split(strings.ReplaceAll(text, "\r\n", "\n"), "\n")
		for _, s := range doc.Sections {
			require.Contains(t, lines[s.Line-1], s.Name)
			for _, k := range s.Keys {
				require.Contains(t, lines[k.Line-1], k.Name)
			}
			_ = s.Decode(&sample{})
		}
	})
}
