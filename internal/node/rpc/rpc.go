// Package rpc implements the calls between processes: a call is a pair of request and response
// types, encoded as JSON over HTTP/1.1. The package enforces size limits and timeouts and maps
// errors to HTTP status codes. It must never accept a body above its size limit, wait without a
// deadline, or depend on the meaning of a call.
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

// Error is the class of errors of failed calls, apart from StatusError.
var Error = errs.Class("call")

// Call describes a call. Its path may end in a name in braces, as in /Explain/{name}.
type Call[Req, Ans any] struct {
	Method     string
	Path       string
	MaxBytes   int64  // limit of a request body and of a response body
	Callers    string // who may call it, for the documentation
	compressed bool   // large bodies are compressed if the other side accepts that
	slots      chan struct{}
}

// WithConcurrencyLimit limits the calls that are handled at the same time to n. Further calls are
// rejected with Retry-After before their body is read, so that at most n bodies are in memory.
func (c Call[Req, Ans]) WithConcurrencyLimit(n int) Call[Req, Ans] {
	c.slots = make(chan struct{}, n)
	return c
}

// acquireSlot reserves a slot until release is called. full reports that no slot is free.
func (c Call[Req, Ans]) acquireSlot() (release func(), full bool) {
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

// WithCompression compresses large bodies of the call. It is intended for calls between processes
// of the system: the links between them are slow, and a configuration has many equal lines.
func (c Call[Req, Ans]) WithCompression() Call[Req, Ans] {
	c.compressed = true
	return c
}

var declaredCalls []string // rows of the table that Page prints

// Declare returns a call and adds it to the table of calls.
func Declare[Req, Ans any](method, path string, maxBytes int64, callers string) Call[Req, Ans] {
	var req Req
	var ans Ans
	declaredCalls = append(declaredCalls, fmt.Sprintf("| `%s %s` | %s | `%s` | `%s` | %d |", method, path, callers, typeName(req), typeName(ans), maxBytes))
	return Call[Req, Ans]{Method: method, Path: path, MaxBytes: maxBytes, Callers: callers}
}

func typeName(v any) string {
	name := fmt.Sprintf("%T", v)
	return name[strings.LastIndexByte(name, '.')+1:]
}

// Page returns docs/operate/calls.md, the table of all declared calls.
func Page() string {
	sort.Strings(declaredCalls)
	return "# Calls\n\nThe calls that the processes of the system serve as JSON over HTTP/1.1. A `Raw` body is passed through unchanged.\n" +
		"`saddlectl calls` prints this page; a test compares it with the code.\n\n" +
		"| call | callers | request | response | maximum bytes |\n| --- | --- | --- | --- | --- |\n" + strings.Join(declaredCalls, "\n") + "\n"
}

// StatusError is the outcome of a call with a status other than 200.
type StatusError struct {
	Status       int
	Reason       string
	RedirectHost string        // host:port to repeat the call at; only with status 307
	RetryAfter   time.Duration // value of the Retry-After header; 0: no header
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

// Errorf returns a StatusError with a formatted reason.
func Errorf(status int, format string, args ...any) *StatusError {
	return &StatusError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Raw is a request or response body that is passed through unchanged.
type Raw []byte

// Empty is the response body of a call that returns only its status.
type Empty struct{}

// RequestInfo holds the name at the end of a call's path and the caller's address.
type RequestInfo struct {
	Name string
	Peer string
}

const (
	readHeaderTimeout  = 2 * time.Second
	readTimeout        = 5 * time.Second
	minWriteTimeout    = 5 * time.Second
	idleTimeout        = 60 * time.Second
	overloadRetryAfter = 300 * time.Millisecond // Retry-After for callers that find no free slot
	maxHeaderBytes     = 8 << 10
)

// Handle registers the handler of the call. An error that is not a StatusError is returned to
// the caller with status 503.
func (c Call[Req, Ans]) Handle(mux *http.ServeMux, handler func(ctx context.Context, info RequestInfo, req Req) (Ans, error)) {
	mux.HandleFunc(c.Method+" "+c.Path, func(w http.ResponseWriter, r *http.Request) {
		release, full := c.acquireSlot()
		if full {
			writeError(w, r, &StatusError{Status: http.StatusServiceUnavailable, Reason: "too many concurrent calls of this kind", RetryAfter: overloadRetryAfter})
			return
		}
		defer release()
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.MaxBytes))
		if err != nil {
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				writeError(w, r, Errorf(http.StatusRequestEntityTooLarge, "the request body has more than %d bytes", c.MaxBytes))
			} else {
				writeError(w, r, Errorf(http.StatusBadRequest, "the request body is incomplete"))
			}
			return
		}
		if body, err = decompress(r.Header, body, c.MaxBytes); err != nil {
			writeError(w, r, Errorf(http.StatusBadRequest, "%v", err))
			return
		}
		var req Req
		if raw, ok := any(&req).(*Raw); ok {
			*raw = body
		} else if len(body) > 0 {
			if err := json.Unmarshal(body, &req); err != nil {
				writeError(w, r, Errorf(http.StatusBadRequest, "%v", err))
				return
			}
		}
		ans, err := handler(r.Context(), RequestInfo{Name: r.PathValue("name"), Peer: r.RemoteAddr}, req)
		if err != nil {
			var status *StatusError
			if !errors.As(err, &status) {
				status = Errorf(http.StatusServiceUnavailable, "%v", err)
			}
			writeError(w, r, status)
			return
		}
		text, ok := any(ans).(Raw)
		if !ok {
			if text, err = json.Marshal(ans); err != nil {
				writeError(w, r, Errorf(http.StatusInternalServerError, "%v", err))
				return
			}
		}
		if c.compressed && r.Header.Get("Accept-Encoding") == zstdCoding {
			text = compress(w.Header(), text)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text)
	})
}

func writeError(w http.ResponseWriter, r *http.Request, status *StatusError) {
	if status.RedirectHost != "" {
		w.Header().Set("Location", "http://"+status.RedirectHost+r.URL.Path)
	}
	if status.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(status.RetryAfter.Seconds(), 'f', -1, 64))
	}
	text := status.Reason + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status.Status)
	io.WriteString(w, text)
}

// Invoke calls the process at addr, a host:port. name replaces the name in braces of the path. A
// response with a status other than 200 is returned as a StatusError that has only Status and Reason.
func (c Call[Req, Ans]) Invoke(ctx context.Context, client *Client, addr, name string, req Req) (ans Ans, err error) {
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
	header := http.Header{"Content-Type": {"application/json"}, "User-Agent": nil}
	if c.compressed {
		header.Set("Accept-Encoding", zstdCoding)
		body = compress(header, body)
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return ans, Error.Wrap(err)
	}
	request.Header = header
	response, err := client.http.Do(request)
	if err != nil {
		return ans, Error.Wrap(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, c.MaxBytes+1))
	switch {
	case err != nil:
		return ans, Error.Wrap(err)
	case int64(len(text)) > c.MaxBytes:
		return ans, Error.New("%s: the response has more than %d bytes", addr, c.MaxBytes)
	case response.StatusCode != http.StatusOK:
		return ans, &StatusError{Status: response.StatusCode, Reason: string(bytes.TrimSpace(text[:min(len(text), 200)]))}
	}
	if text, err = decompress(response.Header, text, c.MaxBytes); err != nil {
		return ans, err
	}
	if raw, ok := any(&ans).(*Raw); ok {
		*raw = text
		return ans, nil
	}
	return ans, Error.Wrap(json.Unmarshal(text, &ans))
}

// Client makes calls to other processes over a limited pool of connections.
type Client struct{ http *http.Client }

// NewClient returns a client with a timeout for dialing.
func NewClient(dialTimeout time.Duration) *Client { return NewClientFrom("", dialTimeout) }

// NewClientFrom returns a client that uses ip as its source address; empty: any address of the host.
func NewClientFrom(ip string, dialTimeout time.Duration) *Client {
	dialer := transport.Dialer(dialTimeout)
	if ip != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	return &Client{http: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConns: 64, MaxIdleConnsPerHost: 2,
			MaxConnsPerHost: 8, IdleConnTimeout: idleTimeout / 2, DisableCompression: true, WriteBufferSize: 4 << 10,
			ReadBufferSize: 4 << 10, ResponseHeaderTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Serve serves calls on a listener until ctx ends. It then returns without waiting; calls in flight
// may take one more second before their connections are closed. writeTimeout is raised to
// minWriteTimeout if it is shorter.
func Serve(ctx context.Context, ln net.Listener, handler http.Handler, writeTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, WriteTimeout: max(writeTimeout, minWriteTimeout)}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}
