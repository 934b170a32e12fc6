// Package frame is the codec of the platform's leaf frames: the mixer and the
// stand-in leaf servers both use it, so a change shows on both sides. It owns the
// form of frames, calls and answers. It must never hold more of a frame than its
// bound, or know what a call means.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Max bounds a frame: its letter and its rest, in bytes.
const Max = 128 << 10

// Error is a frame, or a message in one, that can't be used.
type Error struct{ Problem string }

func (e *Error) Error() string { return e.Problem }

func bad(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Append appends a frame.
func Append(b []byte, letter byte, rest []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// Read reads a frame.
func Read(r *bufio.Reader) (letter byte, rest []byte, err error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 1 || n > Max {
		return 0, nil, bad("length %d", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return body[0], body[1:], nil
}

// Part is one part of a call: Q carries one or more.
type Part struct {
	ID      string
	Shard   int
	Options string // d=MILLISECONDS and more, by commas
	Text    string
}

// AppendPart appends a part's line and text to the rest of a Q.
func AppendPart(b []byte, p Part) []byte {
	return fmt.Appendf(b, "%s %d %s %d\n%s", p.ID, p.Shard, p.Options, len(p.Text), p.Text)
}

// ParseParts reads the rest of a Q.
func ParseParts(rest []byte) ([]Part, error) {
	var out []Part
	for len(rest) > 0 {
		line, more, ok := bytes.Cut(rest, []byte("\n"))
		f := strings.Split(string(line), " ")
		if !ok || len(f) != 4 || f[0] == "" {
			return nil, bad("not a line of four fields")
		}
		shard, err := strconv.ParseUint(f[1], 10, 31)
		if err != nil {
			return nil, bad("shard %.20q", f[1])
		}
		n, err := strconv.ParseUint(f[3], 10, 31)
		if err != nil || int(n) > len(more) {
			return nil, bad("a text of %.20q bytes", f[3])
		}
		out = append(out, Part{f[0], int(shard), f[2], string(more[:n])})
		rest = more[n:]
	}
	if len(out) == 0 {
		return nil, bad("a call without parts")
	}
	return out, nil
}

// TimeoutMS is the number of milliseconds that a list gives, 0 where it gives none.
func (p Part) TimeoutMS() int {
	for item := range strings.SplitSeq(p.Options, ",") {
		if v, ok := strings.CutPrefix(item, "d="); ok {
			n, err := strconv.Atoi(v)
			if err == nil {
				return n
			}
		}
	}
	return 0
}

// Answer is the rest of an A.
type Answer struct {
	ID         string
	Status     string // ok, err or busy
	Score      uint64
	LoadReport string // a load report, or -
	Value      []byte
}

// AppendAnswer appends the rest of an A.
func AppendAnswer(b []byte, a Answer) []byte {
	return append(fmt.Appendf(b, "%s %s %d %s\n", a.ID, a.Status, a.Score, a.LoadReport), a.Value...)
}

// ParseAnswer reads the rest of an A.
func ParseAnswer(rest []byte) (Answer, error) {
	line, value, ok := bytes.Cut(rest, []byte("\n"))
	f := strings.Split(string(line), " ")
	if !ok || len(f) != 4 {
		return Answer{}, bad("not a line of four fields")
	}
	score, err := strconv.ParseUint(f[2], 10, 64)
	if err != nil || f[1] != "ok" && f[1] != "err" && f[1] != "busy" {
		return Answer{}, bad("end %.20q, score %.20q", f[1], f[2])
	}
	return Answer{f[0], f[1], score, f[3], value}, nil
}
