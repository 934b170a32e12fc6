package httpwire

// This file reads the messages in testdata/. Test messages belong there, not here.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// describe reads all messages from the bytes of a connection and describes them in one line.
func describe(raw string, response bool) string {
	var descriptions []string
	r := NewReader(strings.NewReader(raw))
	for {
		if err := r.Await(); err != nil {
			return strings.Join(append(descriptions, "end"), "; ")
		}
		var description string
		var err error
		if response {
			var resp *Response
			if resp, err = r.Response(); err == nil {
				description = fmt.Sprintf("%d %q keep=%t", resp.Status, resp.Body, resp.KeepAlive)
			}
		} else {
			var req *Request
			if req, err = r.Request(nil); err == nil {
				description = fmt.Sprintf("%s %s %q keep=%t", req.Method, req.Path, req.Body, req.KeepAlive)
			}
		}
		var rejected *Error
		switch {
		case errors.As(err, &rejected):
			return strings.Join(append(descriptions, rejected.Error()), "; ")
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return strings.Join(append(descriptions, "cut"), "; ")
		case err != nil:
			return strings.Join(append(descriptions, "error "+err.Error()), "; ")
		}
		descriptions = append(descriptions, description)
	}
}

// TestFraming runs the cases in testdata/framing.txt. A case consists of a comment on what
// it guards against, the bytes as quoted strings (`*N` after a string repeats it N times),
// and the description expected.
func TestFraming(t *testing.T) {
	file, err := os.ReadFile("testdata/framing.txt")
	require.NoError(t, err)
	for block := range strings.SplitSeq(strings.TrimSpace(string(file)), "\n\n") {
		lines := strings.Split(block, "\n")
		require.GreaterOrEqual(t, len(lines), 3, block)
		var raw strings.Builder
		for _, line := range lines[1 : len(lines)-1] {
			quoted, repeat, _ := strings.Cut(line, " *")
			unquoted, err := strconv.Unquote(quoted)
			require.NoError(t, err, block)
			count, _ := strconv.Atoi(repeat)
			raw.WriteString(strings.Repeat(unquoted, max(count, 1)))
		}
		require.Equal(t, lines[len(lines)-1], describe(raw.String(), strings.HasPrefix(raw.String(), "HTTP/")), block)
	}
}

// A response that has no body may state the length of the one that another method or an earlier request got.
func TestLengthOfAbsentBody(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
	}{{"HEAD", 200}, {"GET", 304}} {
		text := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n", c.status, int64(9e9))
		r := NewReader(strings.NewReader(text + string(AppendResponse(nil, 429, "text/plain", []byte("later"), true))))
		require.NoError(t, r.Await())
		response, err := r.ResponseTo(c.method)
		require.NoError(t, err)
		require.Empty(t, response.Body)
		require.NoError(t, r.Await())
		next, err := r.ResponseTo("GET")
		require.NoError(t, err)
		require.Equal(t, "later", string(next.Body))
	}
	require.Contains(t, string(AppendResponse(nil, 429, "text/plain", nil, true)), "HTTP/1.1 429 Too Many Requests\r\n")
}

// FuzzReader reads any bytes as requests and as a response: neither may panic or exceed the
// limits.
func FuzzReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw string) {
		r := NewReader(strings.NewReader(raw))
		for r.Await() == nil {
			req, err := r.Request(nil)
			if err != nil {
				break
			}
			require.LessOrEqual(t, len(req.Body), MaxBody)
		}
		if resp, err := NewReader(strings.NewReader(raw)).Response(); err == nil {
			require.LessOrEqual(t, len(resp.Body), MaxBody)
		}
	})
}
