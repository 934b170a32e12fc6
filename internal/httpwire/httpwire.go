// Package httpwire reads and writes HTTP/1.1 messages for servers and clients, on top of
// net/textproto. It owns the framing of a message: the limits on the size of its head
// and of its body, how the end of the body is found, and whether the connection is kept
// alive after it. It never buffers more of a message than the limits allow, never panics
// on input of a peer and does not interpret messages.
package httpwire

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// The default limits of a message, in bytes.
const (
	MaxBody = 64 << 10
	MaxHead = 16 << 10

	bodyStep = 16 << 10 // a body of known length is allocated in steps of this size
)

// Error describes a message that is rejected, with the status to answer it with.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

func badRequest(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// limitedReader returns an Error once remaining bytes have been read; the caller resets
// remaining for each phase of a message. It keeps a peer that sends an endless line or
// head from exhausting the memory.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, &Error{413, "message too large"}
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	return n, err
}

// Reader reads the messages of one connection.
type Reader struct {
	limit            *limitedReader
	buf              *bufio.Reader
	text             *textproto.Reader
	maxHead, maxBody int
	method           string // of the request that was read last

	// OnHead, if not nil, is called when the head of a request has been read and a body follows.
	OnHead func()
}

// NewReader returns a Reader for r with the limits MaxHead and MaxBody.
func NewReader(r io.Reader) *Reader { return NewReaderSize(r, 4096, MaxHead, MaxBody) }

// NewReaderSize returns a Reader for r whose buffer has the given size, with the given
// limits. All sizes are in bytes.
func NewReaderSize(r io.Reader, buffer, maxHead, maxBody int) *Reader {
	limit := &limitedReader{r: r}
	buf := bufio.NewReaderSize(limit, buffer)
	return &Reader{limit: limit, buf: buf, text: textproto.NewReader(buf), maxHead: maxHead, maxBody: maxBody}
}

// SetLimits sets the limits for the messages from the next one on, in bytes. A limit of
// 0 stands for MaxHead or MaxBody.
func (r *Reader) SetLimits(maxHead, maxBody int) {
	r.maxHead, r.maxBody = cmp.Or(maxHead, MaxHead), cmp.Or(maxBody, MaxBody)
	r.limit.remaining = max(r.maxHead-r.buf.Buffered(), 0)
}

// Buffered returns the number of bytes received that do not belong to a message read so far.
func (r *Reader) Buffered() int { return r.buf.Buffered() }

// Await returns nil once the first byte of the next message has been received. At the
// end of the connection it returns the error of the underlying reader.
func (r *Reader) Await() error {
	r.limit.remaining = r.maxHead // body sets a further limit once the head has been read
	_, err := r.buf.Peek(1)
	return err
}

// Request is the head and the body of a request.
type Request struct {
	Method, Path string
	Target       string // the path with its query, as received
	Header       textproto.MIMEHeader
	Body         []byte
	KeepAlive    bool
}

// Request reads a request. cont, if not nil, is called before the body is read if the
// client has sent "Expect: 100-continue" and waits for the server to continue.
func (r *Reader) Request(cont func() error) (*Request, error) {
	r.method = ""
	line, err := r.start()
	if err != nil {
		return nil, err
	}
	if len(line) > r.maxHead {
		return nil, &Error{413, "head too large"}
	}
	method, rest, okMethod := strings.Cut(line, " ")
	r.method = method
	target, proto, okTarget := strings.Cut(rest, " ")
	if after, absolute := strings.CutPrefix(target, "http://"); absolute { // absolute form, as sent to proxies
		_, path, _ := strings.Cut(after, "/")
		target = "/" + path
	}
	if !okMethod || !okTarget || !isToken(method) || !strings.HasPrefix(target, "/") || strings.Contains(proto, " ") {
		return nil, badRequest("malformed request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		if strings.HasPrefix(proto, "HTTP/") {
			return nil, &Error{505, "HTTP version not supported"}
		}
		return nil, badRequest("malformed request line")
	}
	req := &Request{Method: method, Target: target}
	req.Path, _, _ = strings.Cut(target, "?")
	if req.Header, err = r.head(); err != nil {
		return nil, err
	}
	if proto == "HTTP/1.1" && len(req.Header["Host"]) != 1 {
		return nil, badRequest("one Host header is needed")
	}
	req.KeepAlive = keepAlive(proto, req.Header)
	length, chunked, err := framing(req.Header, r.maxBody)
	if err != nil {
		return nil, err
	}
	if r.OnHead != nil && (chunked || length > 0) {
		r.OnHead()
	}
	if cont != nil && (chunked || length > 0) && strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		if err := cont(); err != nil {
			return nil, err
		}
	}
	req.Body, err = r.body(max(length, 0), chunked)
	return req, err
}

// Method returns the method of the request that Request has read last, also if the rest of it could not be
// read; empty: no request line has arrived.
func (r *Reader) Method() string { return r.method }

// AllowsBody reports whether a response with a status to a request with a method may have a body (RFC 9110,
// 6.4.1).
func AllowsBody(method string, status int) bool {
	return method != "HEAD" && status != 204 && status != 304
}

// Response is the head and the body of a response.
type Response struct {
	Status    int
	Header    textproto.MIMEHeader
	Body      []byte
	KeepAlive bool
}

// Response reads the response to a GET.
func (r *Reader) Response() (*Response, error) { return r.ResponseTo("GET") }

// ResponseTo reads the response to a request with the given method.
func (r *Reader) ResponseTo(method string) (*Response, error) {
	line, err := r.start()
	if err != nil {
		return nil, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 200 || status > 999 {
		return nil, badRequest("malformed status line")
	}
	resp := &Response{Status: status}
	if resp.Header, err = r.head(); err != nil {
		return nil, err
	}
	resp.KeepAlive = keepAlive(proto, resp.Header)
	maxLength := r.maxBody
	if !AllowsBody(method, status) {
		maxLength = math.MaxInt // Content-Length is that of the body which another method would get
	}
	length, chunked, err := framing(resp.Header, maxLength)
	if err != nil {
		return nil, err
	}
	switch {
	case !AllowsBody(method, status):
	case length < 0 && !chunked: // the body extends to the end of the connection
		resp.KeepAlive = false
		r.limit.remaining = r.maxBody + 1
		resp.Body, err = io.ReadAll(io.LimitReader(r.buf, int64(r.maxBody)+1))
		if err == nil && len(resp.Body) > r.maxBody {
			err = &Error{413, "body too large"}
		}
	default:
		resp.Body, err = r.body(max(length, 0), chunked)
	}
	return resp, err
}

// start reads the start line of a message and skips up to three empty lines before it.
func (r *Reader) start() (string, error) {
	for range 4 {
		line, err := r.text.ReadLine()
		if err != nil || line != "" {
			return line, err
		}
	}
	return "", badRequest("no start line")
}

// head reads the header fields of a message, or its trailer fields.
func (r *Reader) head() (textproto.MIMEHeader, error) {
	h, err := r.text.ReadMIMEHeader()
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &malformed):
		return nil, badRequest("malformed header")
	case err != nil && strings.Contains(err.Error(), "message too large"):
		return nil, &Error{413, "head too large"}
	case err != nil:
		return nil, err
	}
	size := 0
	for name, values := range h {
		if !isToken(name) {
			return nil, badRequest("malformed header name")
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

// isToken reports whether s is a token of RFC 9110.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// keepAlive reports whether the connection is kept alive after a message.
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

// framing returns how the end of a body is found: by its length (-1 if the head has none)
// or by chunks. A message with both, or with two lengths, is rejected, because it allows
// request smuggling: two servers would disagree on where the message ends.
func framing(h textproto.MIMEHeader, maxBody int) (length int, chunked bool, err error) {
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return 0, false, badRequest("both a length and a transfer coding")
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
		return 0, false, badRequest("two lengths")
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(maxBody) {
		return 0, false, &Error{413, "body too large"}
	}
	if err != nil {
		return 0, false, badRequest("malformed Content-Length")
	}
	return int(n), false, nil
}

// body reads a body of known length or in chunks.
func (r *Reader) body(length int, chunked bool) ([]byte, error) {
	if !chunked {
		if length == 0 {
			return nil, nil
		}
		// Memory is allocated as the body arrives, not for the announced length at once.
		r.limit.remaining = length
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
	r.limit.remaining = 2 * r.maxBody // the framing of small chunks can double the size
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
			return nil, badRequest("malformed chunk size")
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
			return nil, badRequest("chunk longer than its size")
		}
	}
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 501: "Not Implemented", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// StatusText returns the reason phrase of a status.
func StatusText(status int) string {
	if phrase := reasonPhrases[status]; phrase != "" {
		return phrase
	}
	return http.StatusText(status)
}

// Field is a header field.
type Field struct{ Name, Value string }

// AppendResponse appends a response with a Content-Length. Without keepAlive it
// has the field "Connection: close".
func AppendResponse(b []byte, status int, contentType string, body []byte, keepAlive bool, fields ...Field) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		status, StatusText(status), contentType, len(body))
	for _, f := range fields {
		b = fmt.Appendf(b, "%s: %s\r\n", f.Name, f.Value)
	}
	if !keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

// AppendGet appends a GET request for a path.
func AppendGet(b []byte, host, path string) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, host)
}
