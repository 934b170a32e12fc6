// Package rpc is the one generic handler between processes: a call and its answer are a
// pair of types, carried as JSON over HTTP/1.1. It owns the sizes, the deadlines and the
// statuses of calls. It must never take a body over its bound, wait without a deadline, or
// know what a call means.
package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"saddleport/internal/transport"
)

// Error is the class of failed calls.
var Error = errs.Class("call")

// Call declares a call: its path, which may end in a name in braces, and who may call it.
type Call[Req, Ans any] struct {
	Method   string
	Path     string
	MaxBytes int64  // bytes of a request's body, and of an answer's
	Callers  string // for the docs
	packed   bool   // bodies that are large go compressed, where the other side takes them
	slots    chan struct{}
}

// WithConcurrencyLimit bounds the calls that are answered at once. One more is refused with Retry-After, before
// its body is read: so many bodies fit into the memory.
func (c Call[Req, Ans]) WithConcurrencyLimit(n int) Call[Req, Ans] {
	c.slots = make(chan struct{}, n)
	return c
}

// enter takes a slot; full: there is none.
func (c Call[Req, Ans]) enter() (leave func(), full bool) {
	if c.slots == nil {
		return func() {}, false
	}
	select {
	case c.slots <- struct{}{}:
		return func() { <-c.slots }, false
	default:
		return nil, true
	}
}

// WithCompression has large bodies of the call go compressed. It is for calls between the system's
// own processes: links between them are slow, and a configuration has many equal lines.
func (c Call[Req, Ans]) WithCompression() Call[Req, Ans] {
	c.packed = true
	return c
}

var declared []string // a line of the docs' table each

// Declare makes a call and puts it into the table of calls.
func Declare[Req, Ans any](method, path string, most int64, who string) Call[Req, Ans] {
	var req Req
	var ans Ans
	declared = append(declared, fmt.Sprintf("| `%s %s` | %s | `%s` | `%s` | %d |", method, path, who, kind(req), kind(ans), most))
	return Call[Req, Ans]{Method: method, Path: path, MaxBytes: most, Callers: who}
}

func kind(v any) string {
	name := fmt.Sprintf("%T", v)
	return name[strings.LastIndexByte(name, '.')+1:]
}

// Page prints the table of calls as the operators' page.
func Page() string {
	sort.Strings(declared)
	return "# Calls\n\nWhat the processes of the system answer, JSON over HTTP/1.1. `Raw` is a body carried as it is.\n" +
		"`saddlectl calls` prints this page; a test holds it to the code.\n\n" +
		"| call | who may call it | request | answer | bytes at most |\n| --- | --- | --- | --- | --- |\n" + strings.Join(declared, "\n") + "\n"
}

// StatusError is a status that is no 200, as a value.
type StatusError struct {
	Status       int
	Reason       string
	RedirectHost string        // of a 307: the host:port where the same call is to go
	RetryAfter   time.Duration // Retry-After
}

func (o *StatusError) Error() string { return fmt.Sprintf("status %d: %s", o.Status, o.Reason) }

// Errorf makes an outcome.
func Errorf(status int, format string, args ...any) *StatusError {
	return &StatusError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Raw is a request or an answer whose bytes are carried as they are.
type Raw []byte

// Empty is the body of an answer that says nothing but that the call was handled.
type Empty struct{}

// RequestInfo is the name that a call's path ends in, and who called.
type RequestInfo struct {
	Name string
	Peer string
}

const (
	readHead  = 2 * time.Second
	readBody  = 5 * time.Second
	writeTime = 5 * time.Second
	idleTime  = 60 * time.Second
	fullRetry = 300 * time.Millisecond // advice to a caller that finds no slot
	mostHead  = 8 << 10
)

// Handle has f answer a call.
func (c Call[Req, Ans]) Handle(mux *http.ServeMux, f func(ctx context.Context, who RequestInfo, req Req) (Ans, error)) {
	mux.HandleFunc(c.Method+" "+c.Path, func(w http.ResponseWriter, r *http.Request) {
		leave, full := c.enter()
		if full {
			reply(w, r, &StatusError{Status: http.StatusServiceUnavailable, Reason: "too many such calls at once", RetryAfter: fullRetry})
			return
		}
		defer leave()
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.MaxBytes))
		if err != nil {
			var large *http.MaxBytesError
			if errors.As(err, &large) {
				reply(w, r, Errorf(http.StatusRequestEntityTooLarge, "more than %d bytes", c.MaxBytes))
			} else {
				reply(w, r, Errorf(http.StatusBadRequest, "the body is incomplete"))
			}
			return
		}
		if body, err = unpack(r.Header, body, c.MaxBytes); err != nil {
			reply(w, r, Errorf(http.StatusBadRequest, "%v", err))
			return
		}
		var req Req
		if raw, ok := any(&req).(*Raw); ok {
			*raw = body
		} else if len(body) > 0 {
			if err := json.Unmarshal(body, &req); err != nil {
				reply(w, r, Errorf(http.StatusBadRequest, "%v", err))
				return
			}
		}
		ans, err := f(r.Context(), RequestInfo{Name: r.PathValue("name"), Peer: r.RemoteAddr}, req)
		if err != nil {
			var out *StatusError
			if !errors.As(err, &out) {
				out = Errorf(http.StatusServiceUnavailable, "%v", err)
			}
			reply(w, r, out)
			return
		}
		text, ok := any(ans).(Raw)
		if !ok {
			if text, err = json.Marshal(ans); err != nil {
				reply(w, r, Errorf(http.StatusInternalServerError, "%v", err))
				return
			}
		}
		if c.packed && r.Header.Get("Accept-Encoding") == coding {
			text = pack(w.Header(), text)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text)
	})
}

func reply(w http.ResponseWriter, r *http.Request, o *StatusError) {
	if o.RedirectHost != "" {
		w.Header().Set("Location", "http://"+o.RedirectHost+r.URL.Path)
	}
	if o.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(o.RetryAfter.Seconds(), 'f', -1, 64))
	}
	text := o.Reason + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(o.Status)
	io.WriteString(w, text)
}

// Invoke calls a process at host:port.
func (c Call[Req, Ans]) Invoke(ctx context.Context, via *Client, addr, name string, req Req) (ans Ans, err error) {
	var body []byte
	if raw, ok := any(req).(Raw); ok {
		body = raw
	} else if body, err = json.Marshal(req); err != nil {
		return ans, Error.Wrap(err)
	}
	path := c.Path
	if i := bytes.IndexByte([]byte(path), '{'); i >= 0 {
		path = path[:i] + name
	}
	head := http.Header{"Content-Type": {"application/json"}, "User-Agent": nil}
	if c.packed {
		head.Set("Accept-Encoding", coding)
		body = pack(head, body)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return ans, Error.Wrap(err)
	}
	r.Header = head
	p, err := via.http.Do(r)
	if err != nil {
		return ans, Error.Wrap(err)
	}
	defer p.Body.Close()
	text, err := io.ReadAll(io.LimitReader(p.Body, c.MaxBytes+1))
	switch {
	case err != nil:
		return ans, Error.Wrap(err)
	case int64(len(text)) > c.MaxBytes:
		return ans, Error.New("%s: an answer of more than %d bytes", addr, c.MaxBytes)
	case p.StatusCode != http.StatusOK:
		return ans, &StatusError{Status: p.StatusCode, Reason: string(bytes.TrimSpace(text[:min(len(text), 200)]))}
	}
	if text, err = unpack(p.Header, text, c.MaxBytes); err != nil {
		return ans, err
	}
	if raw, ok := any(&ans).(*Raw); ok {
		*raw = text
		return ans, nil
	}
	return ans, Error.Wrap(json.Unmarshal(text, &ans))
}

// Client keeps connections to other processes, a bounded number.
type Client struct{ http *http.Client }

// NewClient returns a client that dials within a time.
func NewClient(dial time.Duration) *Client { return NewClientFrom("", dial) }

// NewClientFrom returns a client that calls from an address of this host; empty: any.
func NewClientFrom(ip string, dial time.Duration) *Client {
	dialer := transport.Dialer(dial)
	if ip != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	return &Client{http: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConns: 64, MaxIdleConnsPerHost: 2,
			MaxConnsPerHost: 8, IdleConnTimeout: idleTime / 2, DisableCompression: true, WriteBufferSize: 4 << 10,
			ReadBufferSize: 4 << 10, ResponseHeaderTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Serve answers calls on a listener until ctx ends.
func Serve(ctx context.Context, ln net.Listener, h http.Handler, write time.Duration) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHead, ReadTimeout: readBody, IdleTimeout: idleTime,
		MaxHeaderBytes: mostHead, WriteTimeout: max(write, writeTime)}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if s.Shutdown(end) != nil {
			s.Close()
		}
	})
	defer stop()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}
