package app

// This file plays recorded byte exchanges from testdata/ against the whole
// program, with the test as its clients, leaf servers and discovery. It owns the
// script's form (testdata/README.md) and must never hold a case of its own.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/control"
	"saddleport/internal/downstream"
	"saddleport/internal/hook"
	"saddleport/internal/source/segments"
)

const patience = 20 * time.Second // for anything a script expects: no verdict hangs on a pace

type peer struct {
	ln net.Listener
	nc net.Conn
	r  *bufio.Reader
}

type stage struct {
	t       *testing.T
	listen  string
	config  string // the file
	pace    downstream.Limits
	stay    time.Duration
	set     string // the folder of its hooks; empty: none
	peers   map[string]*peer
	signals chan os.Signal
	ended   chan error
}

func TestPlay(t *testing.T) {
	files, err := filepath.Glob("testdata/play/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			s := &stage{t: t, peers: make(map[string]*peer), pace: downstream.Limits{FirstRequest: patience, Request: patience, Idle: patience}}
			for i, line := range strings.Split(string(text), "\n") {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					s.play(fmt.Sprintf("%s:%d: %s", file, i+1, line), strings.SplitN(line, " ", 3))
				}
			}
		})
	}
}

func (s *stage) play(at string, words []string) {
	who, what, rest := words[0], "", ""
	if len(words) > 1 {
		what = words[1]
	}
	if len(words) > 2 {
		rest = words[2]
	}
	if who == "start" {
		s.start(at, strings.Join(words[1:], " "))
		return
	}
	if who == "counters" { // what the sub-command prints holds this
		var got strings.Builder
		require.NoError(s.t, countersAt(&got, s.listen), at)
		require.Contains(s.t, got.String(), strings.Join(words[1:], " "), at)
		return
	}
	if who == "until" { // counters, until they hold this
		for got := ""; !strings.Contains(got, strings.Join(words[1:], " ")); {
			var out strings.Builder
			require.NoError(s.t, countersAt(&out, s.listen), at)
			got = out.String()
		}
		return
	}
	if who == "signal" {
		s.signals <- map[string]os.Signal{"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[what]
		return
	}
	if who == "hurry" { // clients have little time; a request that is sent at once still comes
		s.pace = downstream.Limits{FirstRequest: patience / 4, Request: patience / 4, Idle: patience / 40}
		return
	}
	if who == "stay" { // open connections go on after SIGTERM, for as long as any script lasts
		s.stay = 10 * patience
		return
	}
	if who == "config" { // the file is replaced
		text, err := os.ReadFile(s.config)
		require.NoError(s.t, err, at)
		s.write(at, string(text), strings.Join(words[1:], " "))
		return
	}
	if who == "segments" {
		s.segments(at, what, rest)
		return
	}
	if who == "hooks" {
		s.hooks(at, what, rest)
		return
	}
	if who == "ended" {
		require.NoError(s.t, <-s.ended, at)
		return
	}
	p := s.peers[who]
	if p == nil {
		p = &peer{}
		s.peers[who] = p
	}
	switch what {
	case "listen":
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err, at)
		s.t.Cleanup(func() { ln.Close() })
		p.ln = ln
		return
	case "deaf": // nobody listens at its address any more
		require.NoError(s.t, p.ln.Close(), at)
		return
	case "accept", "connect":
		var err error
		if what == "accept" {
			if rest != "" { // a further connection to that one
				p.ln = s.peers[rest].ln
			}
			p.ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
			p.nc, err = p.ln.Accept()
		} else {
			p.nc, err = net.Dial("tcp", s.listen)
		}
		require.NoError(s.t, err, at)
		s.t.Cleanup(func() { p.nc.Close() })
		p.r = bufio.NewReader(p.nc)
		return
	case "close":
		p.nc.(*net.TCPConn).SetLinger(0)
		require.NoError(s.t, p.nc.Close(), at)
		return
	}
	require.NoError(s.t, p.nc.SetDeadline(time.Now().Add(patience)), at)
	text := s.addresses(strings.NewReplacer(`\\`, `\`, `\n`, "\n", `\r`, "\r").Replace(rest))
	switch what {
	case ">": // a line
		p.send(s, at, text+"\r\n")
	case ">>": // bytes
		p.send(s, at, text)
	case "body": // of a message, with its length
		p.send(s, at, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))
	case "hex":
		raw, err := hex.DecodeString(rest)
		require.NoError(s.t, err, at)
		p.send(s, at, string(raw))
	case "<":
		got, err := p.r.ReadString('\n')
		require.NoError(s.t, err, at)
		require.Equal(s.t, text+"\r\n", got, at)
	case "<<":
		got := make([]byte, len(text))
		_, err := io.ReadFull(p.r, got)
		require.NoError(s.t, err, at)
		require.Equal(s.t, text, string(got), at)
	case "frame>":
		p.send(s, at, string(binary.BigEndian.AppendUint32(nil, uint32(len(text))))+text)
	case "frame<":
		var size [4]byte
		_, err := io.ReadFull(p.r, size[:])
		require.NoError(s.t, err, at)
		got := make([]byte, binary.BigEndian.Uint32(size[:]))
		_, err = io.ReadFull(p.r, got)
		require.NoError(s.t, err, at)
		require.Regexp(s.t, "^"+strings.ReplaceAll(regexp.QuoteMeta(text), `\*`, "[0-9]+")+"$", string(got), at)
	case "poll": // a path, until its status is so
		path, status, _ := strings.Cut(text, " ")
		for got := ""; got != status; {
			p.send(s, at, "GET "+path+" HTTP/1.1\r\nHost: o\r\n\r\n")
			line, err := p.r.ReadString('\n')
			require.NoError(s.t, err, at)
			got = line[9:12]
			for n := 0; line != "\r\n"; {
				line, err = p.r.ReadString('\n')
				require.NoError(s.t, err, at)
				if _, err := fmt.Sscanf(line, "Content-Length: %d", &n); err != nil && line == "\r\n" {
					_, err = p.r.Discard(n)
					require.NoError(s.t, err, at)
				}
			}
		}
	case "eof":
		got, err := p.r.ReadByte()
		require.Error(s.t, err, "%s: got %q", at, got)
		require.NotErrorIs(s.t, err, os.ErrDeadlineExceeded, at)
	default:
		require.Fail(s.t, "unknown word", at)
	}
}

func (p *peer) send(s *stage, at, text string) {
	_, err := io.WriteString(p.nc, text)
	require.NoError(s.t, err, at)
}

// start runs the program on the configuration in testdata, with the addresses of
// the peers that listen in place of their names, and path=JSON changes to it.
func (s *stage) start(at, changes string) {
	text, err := os.ReadFile("testdata/config.json")
	require.NoError(s.t, err, at)
	text = []byte(s.addresses(string(text)))
	text = regexp.MustCompile(`"@\w+"`).ReplaceAll(text, []byte(`"127.0.0.1:1"`))
	s.config = filepath.Join(s.t.TempDir(), "config.json")
	s.write(at, string(text), changes)
	cfg, err := Load(s.config, func(string) string { return "" })
	require.NoError(s.t, err, at)
	cfg.pace, cfg.stay, cfg.look = s.pace, s.stay, patience
	if s.set != "" {
		cfg.operator = s.operator()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err, at)
	s.listen, s.signals, s.ended = ln.Addr().String(), make(chan os.Signal), make(chan error, 1)
	go func() { s.ended <- serve(cfg, ln, s.signals) }()
}

func (s *stage) operator() string { return filepath.Join(filepath.Dir(s.set), "operator.ini") }

// segments names the peer that is the placement feed, before the mixer starts, or
// waits for a map.
func (s *stage) segments(at, what, rest string) {
	if what != "epoch" {
		dir, err := os.MkdirTemp("", "sp")
		require.NoError(s.t, err, at)
		s.t.Cleanup(func() { os.RemoveAll(dir) })
		s.set = filepath.Join(dir, "set")
		text := "[control]\nsocket = s\n[segments]\nfeed = " + s.peers[what].ln.Addr().String() + "\n"
		require.NoError(s.t, os.WriteFile(s.operator(), []byte(text), 0o600), at)
		return
	}
	begun := time.Now()
	for epoch := ""; epoch != rest; {
		var r segments.Report
		err := control.Call(filepath.Join(filepath.Dir(s.set), "s"), &r, "segments", "show")
		if errors.Is(err, fs.ErrNotExist) && time.Since(begun) < 10*time.Second {
			continue // the mixer does not listen yet
		}
		require.NoError(s.t, err, at)
		epoch = fmt.Sprint(r.Epoch)
	}
}

// hooks gives the mixer a copy of a set of testdata/sets before it starts, edits
// that copy, or speaks to the mixer on its control socket.
func (s *stage) hooks(at, what, rest string) {
	socket := filepath.Join(filepath.Dir(s.set), "s")
	var r hook.Report
	switch what {
	case "edit":
		file, change, _ := strings.Cut(rest, " ")
		old, now, _ := strings.Cut(change, "=>")
		text, err := os.ReadFile(filepath.Join(s.set, file))
		require.NoError(s.t, err, at)
		require.Contains(s.t, string(text), old, at)
		require.NoError(s.t, os.WriteFile(filepath.Join(s.set, file), bytes.ReplaceAll(text, []byte(old), []byte(now)), 0o600), at)
	case "rejected":
		require.ErrorContains(s.t, control.Call(socket, &r, "hooks", "reload"), rest, at)
	case "version":
		for r.Version = -1; fmt.Sprint(r.Version) != rest; {
			require.NoError(s.t, control.Call(socket, &r, "hooks", "list"), at)
		}
	case "reload", "enable", "disable":
		require.NoError(s.t, control.Call(socket, &r, append([]string{"hooks", what}, strings.Fields(rest)...)...), at)
	default:
		// A socket's path has little room, and a test's folder has a long name.
		dir, err := os.MkdirTemp("", "sp")
		require.NoError(s.t, err, at)
		s.t.Cleanup(func() { os.RemoveAll(dir) })
		s.set = filepath.Join(dir, "set")
		require.NoError(s.t, os.CopyFS(s.set, os.DirFS(filepath.Join("testdata/sets", what))), at)
		require.NoError(s.t, os.WriteFile(s.operator(), []byte("[control]\nsocket = s\n[hooks]\ndir = set\nmost-wait = 1s\nforward-tags = yes\n"), 0o600), at)
	}
}

// write puts a configuration in place, with the changes and the peers' addresses.
func (s *stage) write(at, text, changes string) {
	for change := range strings.FieldsSeq(changes) {
		old, now, ok := strings.Cut(s.addresses(change), "=>")
		require.True(s.t, ok && strings.Contains(text, old), at)
		text = strings.Replace(text, old, now, 1)
	}
	require.NoError(s.t, os.WriteFile(s.config, []byte(text), 0o600), at)
}

// addresses puts addresses in place of the names of peers that listen.
func (s *stage) addresses(text string) string {
	for name, p := range s.peers {
		if p.ln != nil {
			addr := p.ln.Addr().String()
			text = strings.NewReplacer(`"@`+name+`"`, `"`+addr+`"`, "Host: @"+name, "Host: "+addr).Replace(text)
		}
	}
	return text
}

// TestConfig reads configurations that are wrong in one place: the one message
// must name the field.
func TestConfig(t *testing.T) {
	good, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	good = regexp.MustCompile(`"@\w+"`).ReplaceAll(good, []byte(`"127.0.0.1:1"`))
	cases, err := os.ReadFile("testdata/config-errors.txt")
	require.NoError(t, err)
	for line := range strings.SplitSeq(strings.TrimSpace(string(cases)), "\n") {
		words := strings.Split(line, " | ")
		require.Len(t, words, 3, line)
		require.Contains(t, string(good), words[0], line)
		_, err := decode([]byte(strings.Replace(string(good), words[0], words[1], 1)), func(string) string { return "" })
		require.EqualError(t, err, words[2], line)
	}
}
