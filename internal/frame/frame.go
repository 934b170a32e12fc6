// Package frame encodes and decodes the platform's frames between the proxy and leaf
// servers. The emulated leaf servers use it too, so a change affects both sides. It owns
// the format of frames, calls and answers. It never buffers more of a frame than
// MaxSize and does not interpret calls.
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

// MaxSize is the largest size of a frame, in bytes: its type and its payload, without
// the length prefix.
const MaxSize = 128 << 10

// Error describes a frame, or a message in one, that is malformed or too large.
type Error struct{ Problem string }

func (e *Error) Error() string { return e.Problem }

func malformed(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Append appends a frame of the given type to b.
func Append(b []byte, frameType byte, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(payload)))
	return append(append(b, frameType), payload...)
}

// Read reads a frame. It returns an *Error if the length of the frame is out of range,
// and the reader's error otherwise.
func Read(r *bufio.Reader) (frameType byte, payload []byte, err error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 1 || n > MaxSize {
		return 0, nil, malformed("frame length %d is out of range", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return body[0], body[1:], nil
}

// Part is one part of a call. A frame of type Q carries one or more parts.
type Part struct {
	ID      string
	Shard   int
	Options string // comma-separated: d=MILLISECONDS and others
	Text    string
}

// AppendPart appends a part, its line and its text, to the payload of a Q frame.
func AppendPart(b []byte, p Part) []byte {
	return fmt.Appendf(b, "%s %d %s %d\n%s", p.ID, p.Shard, p.Options, len(p.Text), p.Text)
}

// ParseParts parses the payload of a Q frame.
func ParseParts(payload []byte) ([]Part, error) {
	var parts []Part
	for len(payload) > 0 {
		line, after, ok := bytes.Cut(payload, []byte("\n"))
		fields := strings.Split(string(line), " ")
		if !ok || len(fields) != 4 || fields[0] == "" {
			return nil, malformed("the line of a part does not have four fields")
		}
		shard, err := strconv.ParseUint(fields[1], 10, 31)
		if err != nil {
			return nil, malformed("invalid shard %.20q", fields[1])
		}
		n, err := strconv.ParseUint(fields[3], 10, 31)
		if err != nil || int(n) > len(after) {
			return nil, malformed("invalid text length %.20q", fields[3])
		}
		parts = append(parts, Part{fields[0], int(shard), fields[2], string(after[:n])})
		payload = after[n:]
	}
	if len(parts) == 0 {
		return nil, malformed("call without parts")
	}
	return parts, nil
}

// TimeoutMS returns the timeout among the options, in milliseconds, or 0 if there is
// none that can be parsed.
func (p Part) TimeoutMS() int {
	for option := range strings.SplitSeq(p.Options, ",") {
		if v, ok := strings.CutPrefix(option, "d="); ok {
			n, err := strconv.Atoi(v)
			if err == nil {
				return n
			}
		}
	}
	return 0
}

// Answer is the payload of an A frame, the answer to one part.
type Answer struct {
	ID         string
	Status     string // ok, err or busy
	Score      uint64
	LoadReport string // "-" if there is none
	Value      []byte
}

// AppendAnswer appends the payload of an A frame.
func AppendAnswer(b []byte, a Answer) []byte {
	return append(fmt.Appendf(b, "%s %s %d %s\n", a.ID, a.Status, a.Score, a.LoadReport), a.Value...)
}

// ParseAnswer parses the payload of an A frame.
func ParseAnswer(payload []byte) (Answer, error) {
	line, value, ok := bytes.Cut(payload, []byte("\n"))
	fields := strings.Split(string(line), " ")
	if !ok || len(fields) != 4 {
		return Answer{}, malformed("the line of an answer does not have four fields")
	}
	score, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil || fields[1] != "ok" && fields[1] != "err" && fields[1] != "busy" {
		return Answer{}, malformed("invalid status %.20q or score %.20q", fields[1], fields[2])
	}
	return Answer{fields[0], fields[1], score, fields[3], value}, nil
}
