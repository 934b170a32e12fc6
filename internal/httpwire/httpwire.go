// Package httpwire frames HTTP/1.1 messages for both sides, on net/textproto.
// It owns the bounds of a message: the size of its head, the size of its body,
// how its end is found and whether the connection outlives it. It must never
// hold more of a message than its bounds, panic on a peer's bytes, or know what
// a message means.
package httpwire

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// The bounds of a message.
const (
	MaxBody = 64 << 10
	MaxHead = 16 << 10

	bodyStep = 16 << 10 // of a body that was announced, room is made for so much at a time
)

// Error is a message that can't be taken, with the status that says so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

func bad(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// bounded lets only so much through until it is refilled: a peer that sends a
// line or a head without end must not fill the memory.
type bounded struct {
	r    io.Reader
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &Error{413, "message too large"}
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err
}

// Reader reads the messages of one connection.
type Reader struct {
	limit            *bounded
	buf              *bufio.Reader
	text             *textproto.Reader
	maxHead, maxBody int

	// OnHead, if set, is called when a request's head has come and a body follows.
	OnHead func()
}

// NewReader reads messages from r, within MaxHead and MaxBody.
func NewReader(r io.Reader) *Reader { return NewReaderSize(r, 4096, MaxHead, MaxBody) }

// NewReaderSize reads messages from r through a buffer of so many bytes, within bounds of
// the caller's, in bytes.
func NewReaderSize(r io.Reader, buffer, maxHead, maxBody int) *Reader {
	limit := &bounded{r: r}
	buf := bufio.NewReaderSize(limit, buffer)
	return &Reader{limit: limit, buf: buf, text: textproto.NewReader(buf), maxHead: maxHead, maxBody: maxBody}
}

// SetLimits has other bounds count from the next message on, in bytes; 0: MaxHead, MaxBody.
func (r *Reader) SetLimits(maxHead, maxBody int) {
	r.maxHead, r.maxBody = cmp.Or(maxHead, MaxHead), cmp.Or(maxBody, MaxBody)
	r.limit.left = max(r.maxHead-r.buf.Buffered(), 0)
}

// Buffered counts the bytes that came and belong to no message read so far.
func (r *Reader) Buffered() int { return r.buf.Buffered() }

// Await returns once the next message has begun; at the connection's end it
// returns the reader's error.
func (r *Reader) Await() error {
	r.limit.left = r.maxHead // body allows more once the head has told how much
	_, err := r.buf.Peek(1)
	return err
}

// Request is a request's head and body.
type Request struct {
	Method, Path string
	Target       string // the path with its query, as it came
	Header       textproto.MIMEHeader
	Body         []byte
	KeepAlive    bool
}

// Request reads a request. cont, if set, is called before the body of a client
// that waits to be told to go on.
func (r *Reader) Request(cont func() error) (*Request, error) {
	line, err := r.start()
	if err != nil {
		return nil, err
	}
	if len(line) > r.maxHead {
		return nil, &Error{413, "head too large"}
	}
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if after, whole := strings.CutPrefix(target, "http://"); whole { // as a proxy sends it
		_, path, _ := strings.Cut(after, "/")
		target = "/" + path
	}
	if !ok || !ok2 || !token(method) || !strings.HasPrefix(target, "/") || strings.Contains(proto, " ") {
		return nil, bad("malformed request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		if strings.HasPrefix(proto, "HTTP/") {
			return nil, &Error{505, "HTTP version not supported"}
		}
		return nil, bad("malformed request line")
	}
	q := &Request{Method: method, Target: target}
	q.Path, _, _ = strings.Cut(target, "?")
	if q.Header, err = r.head(); err != nil {
		return nil, err
	}
	if proto == "HTTP/1.1" && len(q.Header["Host"]) != 1 {
		return nil, bad("one Host header is needed")
	}
	q.KeepAlive = keepAlive(proto, q.Header)
	length, chunked, err := framing(q.Header, r.maxBody)
	if err != nil {
		return nil, err
	}
	if r.OnHead != nil && (chunked || length > 0) {
		r.OnHead()
	}
	if cont != nil && (chunked || length > 0) && strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
		if err := cont(); err != nil {
			return nil, err
		}
	}
	q.Body, err = r.body(max(length, 0), chunked)
	return q, err
}

// Response is a response's status and body.
type Response struct {
	Status    int
	Header    textproto.MIMEHeader
	Body      []byte
	KeepAlive bool
}

// Response reads the response to a GET.
func (r *Reader) Response() (*Response, error) { return r.ResponseTo("GET") }

// ResponseTo reads the response to a method.
func (r *Reader) ResponseTo(to string) (*Response, error) {
	line, err := r.start()
	if err != nil {
		return nil, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 200 || status > 999 {
		return nil, bad("malformed status line")
	}
	p := &Response{Status: status}
	if p.Header, err = r.head(); err != nil {
		return nil, err
	}
	p.KeepAlive = keepAlive(proto, p.Header)
	length, chunked, err := framing(p.Header, r.maxBody)
	if err != nil {
		return nil, err
	}
	switch {
	case status == 204 || status == 304 || to == "HEAD":
	case length < 0 && !chunked: // ends with the connection
		p.KeepAlive = false
		r.limit.left = r.maxBody + 1
		p.Body, err = io.ReadAll(io.LimitReader(r.buf, int64(r.maxBody)+1))
		if err == nil && len(p.Body) > r.maxBody {
			err = &Error{413, "body too large"}
		}
	default:
		p.Body, err = r.body(max(length, 0), chunked)
	}
	return p, err
}

// start reads a start line; empty lines before it are passed over.
func (r *Reader) start() (string, error) {
	for range 4 {
		line, err := r.text.ReadLine()
		if err != nil || line != "" {
			return line, err
		}
	}
	return "", bad("no start line")
}

func (r *Reader) head() (textproto.MIMEHeader, error) {
	h, err := r.text.ReadMIMEHeader()
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &malformed):
		return nil, bad("malformed header")
	case err != nil && strings.Contains(err.Error(), "message too large"):
		return nil, &Error{413, "head too large"}
	case err != nil:
		return nil, err
	}
	size := 0
	for name, values := range h {
		if !token(name) {
			return nil, bad("malformed header name")
		}
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > r.maxHead {
		return nil, &Error{413, "head too large"}
	}
	return h, nil
}

func token(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

func keepAlive(proto string, h textproto.MIMEHeader) bool {
	keep := proto == "HTTP/1.1"
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			switch option = strings.TrimSpace(option); {
			case strings.EqualFold(option, "close"):
				return false
			case strings.EqualFold(option, "keep-alive"):
				keep = true
			}
		}
	}
	return keep
}

// framing finds how a body ends: by a length (-1: none told) or by chunks. Two
// ends at once, or two lengths, are how one message is made to look like two.
func framing(h textproto.MIMEHeader, most int) (length int, chunked bool, err error) {
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return 0, false, bad("both a length and a transfer coding")
		}
		if len(codings) > 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return 0, false, &Error{501, "transfer coding not supported"}
		}
		return 0, true, nil
	}
	if len(lengths) == 0 {
		return -1, false, nil
	}
	if len(lengths) > 1 {
		return 0, false, bad("two lengths")
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(most) {
		return 0, false, &Error{413, "body too large"}
	}
	if err != nil {
		return 0, false, bad("malformed Content-Length")
	}
	return int(n), false, nil
}

func (r *Reader) body(length int, chunked bool) ([]byte, error) {
	if !chunked {
		if length == 0 {
			return nil, nil
		}
		// Room is made for what has come, not for all that was announced.
		r.limit.left = length
		var body []byte
		var err error
		for at := 0; at < length && err == nil; {
			body = append(body, make([]byte, min(length-at, bodyStep))...)
			var n int
			n, err = io.ReadFull(r.buf, body[at:])
			at += n
			body = body[:at]
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	r.limit.left = 2 * r.maxBody // chunks of a few bytes each bring as much again
	var body []byte
	for {
		line, err := r.text.ReadLine()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if errors.Is(err, strconv.ErrRange) || err == nil && int(n)+len(body) > r.maxBody {
			return nil, &Error{413, "body too large"}
		}
		if err != nil {
			return nil, bad("malformed chunk size")
		}
		if n == 0 {
			_, err := r.head() // trailers
			return body, err
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r.buf, body[at:]); err != nil {
			return nil, err
		}
		if end, err := r.text.ReadLine(); err != nil {
			return nil, err
		} else if end != "" {
			return nil, bad("chunk longer than its size")
		}
	}
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 501: "Not Implemented", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// StatusText is the words of a status.
func StatusText(status int) string {
	if r := reasons[status]; r != "" {
		return r
	}
	return http.StatusText(status)
}

// Field is one header line.
type Field struct{ Name, Value string }

// AppendResponse appends a response of a known length.
func AppendResponse(b []byte, status int, kind string, body []byte, keep bool, fields ...Field) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		status, reasons[status], kind, len(body))
	for _, f := range fields {
		b = fmt.Appendf(b, "%s: %s\r\n", f.Name, f.Value)
	}
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

// AppendGet appends a request for a path.
func AppendGet(b []byte, host, path string) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, host)
}
