package httpwire

// This file plays the bytes in testdata/ through the framing. It must never hold
// a message of its own.

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

// say puts what a connection's bytes hold into one line, message by message.
func say(raw string, response bool) string {
	var said []string
	r := NewReader(strings.NewReader(raw))
	for {
		if err := r.Await(); err != nil {
			return strings.Join(append(said, "end"), "; ")
		}
		var text string
		var err error
		if response {
			var p *Response
			if p, err = r.Response(); err == nil {
				text = fmt.Sprintf("%d %q keep=%t", p.Status, p.Body, p.KeepAlive)
			}
		} else {
			var q *Request
			if q, err = r.Request(nil); err == nil {
				text = fmt.Sprintf("%s %s %q keep=%t", q.Method, q.Path, q.Body, q.KeepAlive)
			}
		}
		var known *Error
		switch {
		case errors.As(err, &known):
			return strings.Join(append(said, known.Error()), "; ")
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return strings.Join(append(said, "cut"), "; ")
		case err != nil:
			return strings.Join(append(said, "error "+err.Error()), "; ")
		}
		said = append(said, text)
	}
}

// TestFraming plays the bytes in testdata/framing.txt: per case a line of what
// it guards against, the bytes (`*N` behind a quoted text repeats it), the words.
func TestFraming(t *testing.T) {
	text, err := os.ReadFile("testdata/framing.txt")
	require.NoError(t, err)
	for block := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n\n") {
		lines := strings.Split(block, "\n")
		require.GreaterOrEqual(t, len(lines), 3, block)
		var raw strings.Builder
		for _, line := range lines[1 : len(lines)-1] {
			quoted, times, _ := strings.Cut(line, " *")
			part, err := strconv.Unquote(quoted)
			require.NoError(t, err, block)
			n, _ := strconv.Atoi(times)
			raw.WriteString(strings.Repeat(part, max(n, 1)))
		}
		require.Equal(t, lines[len(lines)-1], say(raw.String(), strings.HasPrefix(raw.String(), "HTTP/")), block)
	}
}

// FuzzReader feeds any bytes to both readers: none may panic or pass a bound.
func FuzzReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw string) {
		r := NewReader(strings.NewReader(raw))
		for r.Await() == nil {
			q, err := r.Request(nil)
			if err != nil {
				break
			}
			require.LessOrEqual(t, len(q.Body), MaxBody)
		}
		if p, err := NewReader(strings.NewReader(raw)).Response(); err == nil {
			require.LessOrEqual(t, len(p.Body), MaxBody)
		}
	})
}
