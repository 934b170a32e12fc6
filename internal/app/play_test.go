package app

// This file runs scripts of byte exchanges from testdata/play against the complete program. The
// test plays the clients, the leaf servers and discovery. testdata/README.md describes the form
// of the scripts; the cases themselves are all in testdata.

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

const scriptTimeout = 20 * time.Second // for each step of a script; long enough that no result depends on the speed of the machine

// peer is a client, a leaf server or the discovery service that a script plays.
type peer struct {
	listener net.Listener
	conn     net.Conn
	reader   *bufio.Reader
}

// scriptRunner runs one script against one proxy.
type scriptRunner struct {
	t            *testing.T
	listen       string
	config       string // path of the configuration file
	clientLimits downstream.Limits
	connGrace    time.Duration
	set          string // directory of the hook set, beside the operator file; empty without an operator file
	peers        map[string]*peer
	signals      chan os.Signal
	ended        chan error
}

// TestPlay runs each script of testdata/play.
func TestPlay(t *testing.T) {
	files, err := filepath.Glob("testdata/play/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			runner := &scriptRunner{t: t, peers: make(map[string]*peer), clientLimits: downstream.Limits{FirstRequest: scriptTimeout, Request: scriptTimeout, Idle: scriptTimeout}}
			for i, line := range strings.Split(string(text), "\n") {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					runner.runLine(fmt.Sprintf("%s:%d: %s", file, i+1, line), strings.SplitN(line, " ", 3))
				}
			}
		})
	}
}

// runLine runs one line of a script. location names the file, the line and its text in messages.
func (s *scriptRunner) runLine(location string, fields []string) {
	actor, verb, argument := fields[0], "", ""
	if len(fields) > 1 {
		verb = fields[1]
	}
	if len(fields) > 2 {
		argument = fields[2]
	}
	if actor == "start" {
		s.start(location, strings.Join(fields[1:], " "))
		return
	}
	if actor == "counters" { // the output of the command counters contains this text
		var got strings.Builder
		require.NoError(s.t, countersAt(&got, s.listen), location)
		require.Contains(s.t, got.String(), strings.Join(fields[1:], " "), location)
		return
	}
	if actor == "until" { // polls the counters until they contain this text
		for got := ""; !strings.Contains(got, strings.Join(fields[1:], " ")); {
			var out strings.Builder
			require.NoError(s.t, countersAt(&out, s.listen), location)
			got = out.String()
		}
		return
	}
	if actor == "signal" {
		s.signals <- map[string]os.Signal{"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[verb]
		return
	}
	if actor == "hurry" { // short limits for clients; a request that is sent at once still arrives in time
		s.clientLimits = downstream.Limits{FirstRequest: scriptTimeout / 4, Request: scriptTimeout / 4, Idle: scriptTimeout / 40}
		return
	}
	if actor == "stay" { // open connections stay open after SIGTERM, longer than any script runs
		s.connGrace = 10 * scriptTimeout
		return
	}
	if actor == "config" { // changes the configuration file
		text, err := os.ReadFile(s.config)
		require.NoError(s.t, err, location)
		s.write(location, string(text), strings.Join(fields[1:], " "))
		return
	}
	if actor == "segments" {
		s.segments(location, verb, argument)
		return
	}
	if actor == "hooks" {
		s.hooks(location, verb, argument)
		return
	}
	if actor == "ended" {
		require.NoError(s.t, <-s.ended, location)
		return
	}
	p := s.peers[actor]
	if p == nil {
		p = &peer{}
		s.peers[actor] = p
	}
	switch verb {
	case "listen":
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err, location)
		s.t.Cleanup(func() { ln.Close() })
		p.listener = ln
		return
	case "deaf": // closes the listener
		require.NoError(s.t, p.listener.Close(), location)
		return
	case "accept", "connect":
		var err error
		if verb == "accept" {
			if argument != "" { // another connection to the peer of that name
				p.listener = s.peers[argument].listener
			}
			p.listener.(*net.TCPListener).SetDeadline(time.Now().Add(scriptTimeout))
			p.conn, err = p.listener.Accept()
		} else {
			p.conn, err = net.Dial("tcp", s.listen)
		}
		require.NoError(s.t, err, location)
		s.t.Cleanup(func() { p.conn.Close() })
		p.reader = bufio.NewReader(p.conn)
		return
	case "close":
		p.conn.(*net.TCPConn).SetLinger(0)
		require.NoError(s.t, p.conn.Close(), location)
		return
	}
	require.NoError(s.t, p.conn.SetDeadline(time.Now().Add(scriptTimeout)), location)
	text := s.addresses(strings.NewReplacer(`\\`, `\`, `\n`, "\n", `\r`, "\r").Replace(argument))
	switch verb {
	case ">": // sends a line
		p.send(s, location, text+"\r\n")
	case ">>": // sends bytes
		p.send(s, location, text)
	case "body": // sends the length header and the body of a message
		p.send(s, location, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))
	case "hex":
		raw, err := hex.DecodeString(argument)
		require.NoError(s.t, err, location)
		p.send(s, location, string(raw))
	case "<":
		got, err := p.reader.ReadString('\n')
		require.NoError(s.t, err, location)
		require.Equal(s.t, text+"\r\n", got, location)
	case "<<":
		got := make([]byte, len(text))
		_, err := io.ReadFull(p.reader, got)
		require.NoError(s.t, err, location)
		require.Equal(s.t, text, string(got), location)
	case "frame>":
		p.send(s, location, string(binary.BigEndian.AppendUint32(nil, uint32(len(text))))+text)
	case "frame<":
		var size [4]byte
		_, err := io.ReadFull(p.reader, size[:])
		require.NoError(s.t, err, location)
		got := make([]byte, binary.BigEndian.Uint32(size[:]))
		_, err = io.ReadFull(p.reader, got)
		require.NoError(s.t, err, location)
		require.Regexp(s.t, "^"+strings.ReplaceAll(regexp.QuoteMeta(text), `\*`, "[0-9]+")+"$", string(got), location)
	case "poll": // requests a path until it returns this status
		path, status, _ := strings.Cut(text, " ")
		for got := ""; got != status; {
			p.send(s, location, "GET "+path+" HTTP/1.1\r\nHost: o\r\n\r\n")
			line, err := p.reader.ReadString('\n')
			require.NoError(s.t, err, location)
			got = line[9:12]
			for n := 0; line != "\r\n"; {
				line, err = p.reader.ReadString('\n')
				require.NoError(s.t, err, location)
				if _, err := fmt.Sscanf(line, "Content-Length: %d", &n); err != nil && line == "\r\n" {
					_, err = p.reader.Discard(n)
					require.NoError(s.t, err, location)
				}
			}
		}
	case "eof":
		got, err := p.reader.ReadByte()
		require.Error(s.t, err, "%s: got %q", location, got)
		require.NotErrorIs(s.t, err, os.ErrDeadlineExceeded, location)
	default:
		require.Fail(s.t, "unknown verb", location)
	}
}

func (p *peer) send(s *scriptRunner, location, text string) {
	_, err := io.WriteString(p.conn, text)
	require.NoError(s.t, err, location)
}

// start runs the program with the configuration in testdata. The names of listening peers are
// replaced by their addresses, and changes (OLD=>NEW, separated by spaces) are applied.
func (s *scriptRunner) start(location, changes string) {
	text, err := os.ReadFile("testdata/config.json")
	require.NoError(s.t, err, location)
	text = []byte(s.addresses(string(text)))
	text = regexp.MustCompile(`"@\w+"`).ReplaceAll(text, []byte(`"127.0.0.1:1"`))
	s.config = filepath.Join(s.t.TempDir(), "config.json")
	s.write(location, string(text), changes)
	cfg, err := Load(s.config, func(string) string { return "" })
	require.NoError(s.t, err, location)
	cfg.clientLimits, cfg.connGrace, cfg.pollTimeout = s.clientLimits, s.connGrace, scriptTimeout
	if s.set != "" {
		cfg.operator = s.operator()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err, location)
	s.listen, s.signals, s.ended = ln.Addr().String(), make(chan os.Signal), make(chan error, 1)
	go func() { s.ended <- serve(cfg, ln, s.signals) }()
}

func (s *scriptRunner) operator() string { return filepath.Join(filepath.Dir(s.set), "operator.ini") }

// segments makes a peer the placement feed, before the proxy starts, or waits until the proxy
// has the map of an epoch.
func (s *scriptRunner) segments(location, verb, argument string) {
	if verb != "epoch" {
		dir, err := os.MkdirTemp("", "sp")
		require.NoError(s.t, err, location)
		s.t.Cleanup(func() { os.RemoveAll(dir) })
		s.set = filepath.Join(dir, "set")
		text := "[control]\nsocket = s\n[segments]\nfeed = " + s.peers[verb].listener.Addr().String() + "\n"
		require.NoError(s.t, os.WriteFile(s.operator(), []byte(text), 0o600), location)
		return
	}
	begun := time.Now()
	for epoch := ""; epoch != argument; {
		var r segments.Report
		err := control.Call(filepath.Join(filepath.Dir(s.set), "s"), &r, "segments", "show")
		if errors.Is(err, fs.ErrNotExist) && time.Since(begun) < 10*time.Second {
			continue // the proxy does not listen on its control socket yet
		}
		require.NoError(s.t, err, location)
		epoch = fmt.Sprint(r.Epoch)
	}
}

// hooks gives the proxy a copy of a hook set of testdata/sets before it starts, edits that copy,
// or sends a command to the control socket.
func (s *scriptRunner) hooks(location, verb, argument string) {
	socket := filepath.Join(filepath.Dir(s.set), "s")
	var r hook.Report
	switch verb {
	case "edit":
		file, change, _ := strings.Cut(argument, " ")
		original, replacement, _ := strings.Cut(change, "=>")
		text, err := os.ReadFile(filepath.Join(s.set, file))
		require.NoError(s.t, err, location)
		require.Contains(s.t, string(text), original, location)
		require.NoError(s.t, os.WriteFile(filepath.Join(s.set, file), bytes.ReplaceAll(text, []byte(original), []byte(replacement)), 0o600), location)
	case "rejected":
		require.ErrorContains(s.t, control.Call(socket, &r, "hooks", "reload"), argument, location)
	case "version":
		for r.Version = -1; fmt.Sprint(r.Version) != argument; {
			require.NoError(s.t, control.Call(socket, &r, "hooks", "list"), location)
		}
	case "reload", "enable", "disable":
		require.NoError(s.t, control.Call(socket, &r, append([]string{"hooks", verb}, strings.Fields(argument)...)...), location)
	default:
		// The path of a Unix socket has a short limit, which paths below t.TempDir may exceed.
		dir, err := os.MkdirTemp("", "sp")
		require.NoError(s.t, err, location)
		s.t.Cleanup(func() { os.RemoveAll(dir) })
		s.set = filepath.Join(dir, "set")
		require.NoError(s.t, os.CopyFS(s.set, os.DirFS(filepath.Join("testdata/sets", verb))), location)
		require.NoError(s.t, os.WriteFile(s.operator(), []byte("[control]\nsocket = s\n[hooks]\ndir = set\nmost-wait = 1s\nforward-tags = yes\n"), 0o600), location)
	}
}

// write writes a configuration file with the changes and the addresses of the peers.
func (s *scriptRunner) write(location, text, changes string) {
	for change := range strings.FieldsSeq(changes) {
		original, replacement, ok := strings.Cut(s.addresses(change), "=>")
		require.True(s.t, ok && strings.Contains(text, original), location)
		text = strings.Replace(text, original, replacement, 1)
	}
	require.NoError(s.t, os.WriteFile(s.config, []byte(text), 0o600), location)
}

// addresses replaces the names of listening peers by their addresses.
func (s *scriptRunner) addresses(text string) string {
	for name, p := range s.peers {
		if p.listener != nil {
			addr := p.listener.Addr().String()
			text = strings.NewReplacer(`"@`+name+`"`, `"`+addr+`"`, "Host: @"+name, "Host: "+addr).Replace(text)
		}
	}
	return text
}

// Of two wrong addresses the first field is reported, each time.
func TestFirstWrongAddress(t *testing.T) {
	for range 50 {
		_, err := decode([]byte(`{"listen":"x","discovery":"y"}`), func(string) string { return "" })
		require.EqualError(t, err, `field listen: "x" is not an address`)
	}
}

// TestConfig checks that an error in a configuration is reported with the name of the field.
// Each case of testdata/config-errors.txt has one error.
func TestConfig(t *testing.T) {
	valid, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	valid = regexp.MustCompile(`"@\w+"`).ReplaceAll(valid, []byte(`"127.0.0.1:1"`))
	cases, err := os.ReadFile("testdata/config-errors.txt")
	require.NoError(t, err)
	for line := range strings.SplitSeq(strings.TrimSpace(string(cases)), "\n") {
		fields := strings.Split(line, " | ")
		require.Len(t, fields, 3, line)
		require.Contains(t, string(valid), fields[0], line)
		_, err := decode([]byte(strings.Replace(string(valid), fields[0], fields[1], 1)), func(string) string { return "" })
		require.EqualError(t, err, fields[2], line)
	}
}
