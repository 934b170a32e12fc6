package logs

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLine(t *testing.T) {
	var out bytes.Buffer
	now := time.Date(2026, 12, 1, 13, 0, 0, 5000, time.UTC)
	s := newSink(&out, func() time.Time { return now })
	l := slog.New(&handler{s: s, component: "back"})
	l.Warn("dial-failed", "server", "s-1", "waiting", 2, "err", errors.New(`no "way"`), "took", 3*time.Millisecond, "none", "")
	require.Equal(t, "2026/12/01 13:00:00.000005 level=warn component=back event=dial-failed server=s-1 waiting=2 "+
		`err="no \"way\"" took=3ms none=""`+"\n", out.String())
	out.Reset()
	l.Debug("unseen")
	require.Empty(t, out.String())
	s.level.Set(slog.LevelDebug)
	l.With("set", "x").Info("counters", "", Pairs("a=1 b=2"))
	require.Contains(t, out.String(), "event=counters set=x a=1 b=2\n")
}

// The lines of one event are limited per second. The next line gives the number of suppressed
// lines, and other events are not affected.
func TestRepeat(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(100, 0)
	s := newSink(&out, func() time.Time { return now })
	s.maxPerSecond.Store(2)
	l := slog.New(&handler{s: s, component: "front"})
	for range 7 {
		l.Info("bad-query")
	}
	l.Info("other")
	require.Equal(t, 2, strings.Count(out.String(), "event=bad-query"))
	require.Equal(t, 1, strings.Count(out.String(), "event=other"))
	now = now.Add(time.Second)
	l.Info("bad-query")
	require.Contains(t, out.String(), "event=bad-query unlogged=5\n")
	s.maxPerSecond.Store(0)
	out.Reset()
	for range 50 {
		l.Info("bad-query")
	}
	require.Equal(t, 50, strings.Count(out.String(), "event=bad-query"))
}

// Each event in the code has a row on the on-call page, and each row has an event in the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	_, rows, ok := strings.Cut(string(page), "## Lines")
	require.True(t, ok)
	rows, _, _ = strings.Cut(rows, "\n## ")
	var documented []string
	for line := range strings.SplitSeq(rows, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, m := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(cells[1], -1) {
				documented = append(documented, m[1])
			}
		}
	}
	var events []string
	for _, root := range []string{"../../internal", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if strings.Contains(path, "internal/lab") || strings.Contains(path, "cmd/saddlelab") { // a command-line tool without a log page: it prints tables
				return nil
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			require.NoError(t, err)
			ast.Inspect(f, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || len(call.Args) == 0 {
					return true
				}
				sel, ok := call.Fun.(*ast.SelectorExpr)
				if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, sel.Sel.Name) {
					return true
				}
				if x, ok := sel.X.(*ast.Ident); !ok || x.Name != "log" {
					return true
				}
				lit, ok := call.Args[0].(*ast.BasicLit)
				require.True(t, ok, "%s: the event name is not a string literal", path)
				event, err := strconv.Unquote(lit.Value)
				require.NoError(t, err)
				events = append(events, event)
				return true
			})
			return nil
		}))
	}
	slices.Sort(events)
	slices.Sort(documented)
	require.Equal(t, slices.Compact(events), slices.Compact(documented))
}
