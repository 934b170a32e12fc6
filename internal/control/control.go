// Package control lets an operator send commands to a running proxy on the same machine: over a
// Unix socket, one request line is answered by one JSON document. It owns the socket and the
// limits of requests. It must never be reachable by a client of the proxy, let a caller wait
// without a timeout, or execute commands itself: the Handler defines their meaning.
package control

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"saddleport/internal/logs"
)

// Settings are the operator file's section [control].
type Settings struct {
	Socket string `ini:"socket" help:"path of the Unix socket; none: the proxy accepts no commands (takes effect at the next start)"`
}

const (
	maxLine         = 4 << 10
	maxReply        = 16 << 20
	maxConns        = 8
	requestTimeout  = 2 * time.Second  // to connect, and to receive the request line
	responseTimeout = 60 * time.Second // of a call: for the command and its response together; in the server: to send the response
)

var log = logs.For("control")

// Handler executes a request, which is a line split at white space. Its result is encoded as
// JSON; its error is sent as text.
type Handler func(args []string) (any, error)

// Server serves requests on a Unix socket, at most maxConns at a time.
type Server struct {
	ln      net.Listener
	handle  Handler
	slots   chan struct{}
	running sync.WaitGroup
}

// Listen opens the socket at path with permissions for the current user only, and serves it. A
// socket file left by a process that has ended is replaced. Listen fails if another process
// answers on the socket, or if the file is not a socket.
func Listen(path string, handle Handler) (*Server, error) {
	if nc, err := net.DialTimeout("unix", path, requestTimeout); err == nil {
		nc.Close()
		return nil, fmt.Errorf("%s: another process answers there", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s: exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	s := &Server{ln: ln, handle: handle, slots: make(chan struct{}, maxConns)}
	s.running.Add(1)
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer s.running.Done()
	for {
		s.slots <- struct{}{}
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			<-s.slots
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer func() { nc.Close(); <-s.slots }()
			s.serveConn(nc)
		}()
	}
}

type reply struct {
	Error string          `json:"error,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

func (s *Server) serveConn(nc net.Conn) {
	nc.SetReadDeadline(time.Now().Add(requestTimeout))
	line, err := bufio.NewReader(io.LimitReader(nc, maxLine)).ReadString('\n')
	if err != nil {
		return
	}
	var r reply
	v, err := s.handle(strings.Fields(line))
	if err == nil {
		r.Value, err = json.Marshal(v)
	}
	if err != nil {
		r.Error = err.Error()
	}
	text, err := json.Marshal(r)
	if err != nil {
		return
	}
	log.Info("control", "asked", strings.TrimSpace(line), "err", r.Error)
	nc.SetWriteDeadline(time.Now().Add(responseTimeout))
	nc.Write(append(text, '\n'))
}

// Close closes the socket and waits for the requests in progress.
func (s *Server) Close() {
	s.ln.Close()
	s.running.Wait()
}

// Call sends a request to the proxy behind the socket at path and stores its response in
// result. An error of the handler is returned with its text.
func Call(path string, result any, args ...string) error {
	if path == "" {
		return errors.New("the operator file names no socket: set [control] socket")
	}
	nc, err := net.DialTimeout("unix", path, requestTimeout)
	if err != nil {
		return fmt.Errorf("no proxy answers: %w", err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := fmt.Fprintln(nc, strings.Join(args, " ")); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(nc, maxReply))
	if err != nil {
		return err
	}
	var r reply
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("cannot decode the proxy's response: %w", err)
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return json.Unmarshal(r.Value, result)
}
