package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validText = "[scenario]\nname = x\n[class a]\nrate = 5\n"

// An invalid value is an error that names file, section, key and line; it never makes a run
// hang.
func TestInvalidScenarios(t *testing.T) {
	for text, want := range map[string]string{
		"":                                                                     "no section [scenario]",
		"[scenario]\nname = x\n":                                               "no section [class NAME]",
		validText + "[fleet]\ncells = 0\n":                                     `x.ini:6: [fleet] cells: "0" is not within`,
		validText + "[fleet]\nreplicas = 0\n":                                  "0 servers in total",
		validText + "[fleet]\ncores = -4\n":                                    `x.ini:6: [fleet] cores`,
		validText + "[fleet]\ncels = 4\n":                                      "is cells meant?",
		validText + "[fleet]\nwidth = 9\n":                                     "is more than the number of cells",
		validText + "[fleet]\ncells = 20000\nreplicas = 64\n":                  "not from 1 to 20000",
		validText + "[class b]\nrate = 1000000000\n":                           `rate: "1000000000" is not within`,
		validText + "[class b]\nrate = 1000000\nparts = 4000\n[x y]\n":         "unknown section",
		validText + "[class b]\nrate = 1000000\nparts = 4000\n":                "up to this class the run has",
		validText + "[class b]\nfloor = 0.9\nneed = 0.5\n":                     "x.ini:6: [class b] floor: 0.9 is above need",
		validText + "[class b]\nwork = lognormal 10ms\n":                       "[class b] work: lognormal wants a number",
		validText + "[class b]\naim = 9s\n":                                    "is above patience",
		validText + "[class b]\ntrace = nowhere\n":                             "no such file",
		validText + "[load]\ncurve = 5:1\n":                                    "[load] curve",
		validText + "[fault f]\ndo = die\n":                                    "at must be given",
		validText + "[fault f]\ndo = explode\nat = 1s\n":                       "is none of",
		validText + "[fault f]\ndo = die\nat = 1s\nwho = server z\n":           "matches no server",
		validText + "[fault f]\ndo = cut\nat = 1s\nwho = amman irbid\n":        "does not name two of the sites",
		validText + "[fault f]\ndo = die\nat = 90s\n":                          "is not less than the length",
		validText + "[fault f]\ndo = die\nat = 1s\nevery = 1s\n":               "must be set together with every",
		validText + "[fault f]\ndo = pause\nat = 0s\nevery = 1ns\nfor = 1ns\n": "more than 1048576 changes",
		validText + "[link amman]\n":                                           "the section must be [link SITE SITE]",
		validText + "[link amman mars]\n":                                      "is not one of the sites",
		validText + "[burst b]\nat = 1s\nfor = 1s\nclass = z\n":                "there is no class",
		"[include]\nfiles = none.ini\n" + validText:                            "no such file",
		"[vary]\nrate = ,\n" + validText:                                       "no values",
	} {
		doc, err := Parse("x.ini", []byte(text))
		if err == nil {
			_, err = doc.Scenario(doc.Variations()[0])
		}
		require.ErrorContains(t, err, want, text)
	}
}

// A file overrides what it includes; errors name the file that they are in; the variations are
// all combinations.
func TestIncludesAndVariations(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	write("base.ini", validText+"[fleet]\ncells = 2\ncores = 3\n")
	top := write("top.ini", "[include]\nfiles = base.ini\n[fleet]\ncores = 7\n[vary]\nrate = 1, 2\nclass.a.parts = 1, 2, 3\n")
	doc, err := Open(top)
	require.NoError(t, err)
	require.Len(t, doc.Variations(), 6)
	s, err := doc.Scenario(doc.Variations()[4])
	require.NoError(t, err)
	require.Equal(t, 2, s.Groups[0].Cells)
	require.Equal(t, 7, s.Groups[0].Cores)
	require.Equal(t, 2.0, s.Rate)
	require.Equal(t, 2, s.Classes[0].Parts)
	require.Equal(t, "rate=2 class.a.parts=2", Label(s.Values))
	// Written as one file, it is the same scenario.
	flat, err := Parse("flat.ini", []byte(s.String()))
	require.NoError(t, err)
	again, err := flat.Scenario(nil)
	require.NoError(t, err)
	require.Equal(t, s.String(), again.String())

	write("base.ini", validText+"[fleet]\ncells = 2\ncores = no\n")
	_, err = Open(write("more.ini", "[include]\nfiles = base.ini\n[fleet]\ncells = 3\n"))
	require.NoError(t, err)
	_, err = Read(filepath.Join(dir, "more.ini"))
	require.ErrorContains(t, err, "base.ini:7: [fleet] cores")
	write("a.ini", "[include]\nfiles = b.ini\n"+validText)
	write("b.ini", "[include]\nfiles = a.ini\n"+validText)
	_, err = Open(filepath.Join(dir, "a.ini"))
	require.ErrorContains(t, err, "includes itself")
	_, err = Parse("v.ini", []byte("[vary]\nrate = "+strings.Repeat("1, ", 10001)+"2\n"+validText))
	require.ErrorContains(t, err, "more than 10000 variations")
}

func FuzzScenario(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte(validText + "[fleet]\ncells = 3\n[fault f]\ndo = release\nat = 1s\nfor = 9s\nwho = cell 1\n[vary]\nrate = 1, 2\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("x.ini", text)
		if err != nil {
			return
		}
		s, err := doc.Scenario(doc.Variations()[0])
		if err != nil {
			return
		}
		require.Positive(t, s.Servers())
		require.LessOrEqual(t, s.Servers(), MaxServers)
	})
}
