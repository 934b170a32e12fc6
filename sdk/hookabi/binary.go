package hookabi

// The binary form; the package comment describes it.

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"
)

// Error says why bytes are not a valid message. Field is the number of the invalid field; 0:
// no single field is invalid.
type Error struct {
	Field   int
	Problem string
}

func (e *Error) Error() string {
	if e.Field == 0 {
		return e.Problem
	}
	return "field " + strconv.Itoa(e.Field) + ": " + e.Problem
}

var errTruncated = &Error{0, "ends in the middle of a field"}

// The field numbers of a view.
const (
	vPoint = iota + 1
	vID
	vClass
	vKey
	vTenant
	vText
	vRepeat
	vTakenAt
	vLeft
	vSeed
	vTag
	vNote
	vPart
	vPartIndex
	vAttempt
	vEnding
	vWhole
	vShare
)

// The field numbers of a part and of a pair.
const (
	pShard = iota + 1
	pWeight
	pKey
	pAttempts
	pServed
	pDropped
	pValue

	kName  = 1
	kValue = 2
)

// The field numbers of a result. The fields from firstClaim on are the claims, in the order
// of claimNames.
const (
	rTag = iota + 1
	rNote
	rClass
	rLeft
	rDrop
	rNotWhole
	rRefuse
	rReason
	rRetryAfter
	rLog

	firstClaim = 64
)

var claimNames = []string{"id", "value", "whole", "server", "resend", "answer", "status"}

// appendHeader appends the bytes that every message begins with.
func appendHeader(b []byte) []byte { return append(b, 'S', 'H', Version) }

// The put functions append a field. A field with its zero value is left out.

func putBytes(b []byte, field int, v string) []byte {
	if v == "" {
		return b
	}
	b = binary.AppendUvarint(b, uint64(field))
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

func putInt(b []byte, field int, v int64) []byte {
	if v == 0 {
		return b
	}
	var n [binary.MaxVarintLen64]byte
	return putBytes(b, field, string(n[:binary.PutVarint(n[:], v)]))
}

func putBool(b []byte, field int, v bool) []byte {
	if v {
		return putInt(b, field, 1)
	}
	return b
}

func putFloat(b []byte, field int, v float64) []byte {
	if v == 0 {
		return b
	}
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], math.Float64bits(v))
	return putBytes(b, field, string(n[:]))
}

func putPairs(b []byte, field int, pairs []Pair) []byte {
	for _, p := range pairs {
		inner := putBytes(putBytes(nil, kName, p.Name), kValue, p.Value)
		b = binary.AppendUvarint(b, uint64(field))
		b = binary.AppendUvarint(b, uint64(len(inner)))
		b = append(b, inner...)
	}
	return b
}

// AppendView appends the binary form of a view.
func AppendView(b []byte, v *View) []byte {
	b = appendHeader(b)
	b = putInt(b, vPoint, int64(v.Point))
	b = putBytes(b, vID, v.ID)
	b = putBytes(b, vClass, v.Class)
	b = putBytes(b, vKey, v.Key)
	b = putBytes(b, vTenant, v.Tenant)
	b = putBytes(b, vText, v.Text)
	b = putBool(b, vRepeat, v.Repeat)
	b = putInt(b, vTakenAt, v.TakenAt)
	b = putInt(b, vLeft, v.Left)
	b = putInt(b, vSeed, int64(v.Seed))
	b = putPairs(b, vTag, v.Tags)
	b = putPairs(b, vNote, v.Notes)
	var inner []byte
	for i := range v.Parts {
		p := &v.Parts[i]
		inner = putInt(inner[:0], pShard, int64(p.Shard))
		inner = putFloat(inner, pWeight, p.Weight)
		inner = putBytes(inner, pKey, p.Key)
		inner = putInt(inner, pAttempts, int64(p.Attempts))
		inner = putBool(inner, pServed, p.Served)
		inner = putBool(inner, pDropped, p.Dropped)
		inner = putBytes(inner, pValue, p.Value)
		b = binary.AppendUvarint(b, vPart)
		b = binary.AppendUvarint(b, uint64(len(inner)))
		b = append(b, inner...)
	}
	b = putInt(b, vPartIndex, int64(v.Part)+1) // stored plus 1, since 0 is left out
	b = putInt(b, vAttempt, int64(v.Attempt))
	b = putBytes(b, vEnding, v.Ending)
	b = putBool(b, vWhole, v.Whole)
	return putFloat(b, vShare, v.Share)
}

// AppendResult appends the binary form of a result.
func AppendResult(b []byte, r *Result) []byte {
	b = appendHeader(b)
	b = putPairs(b, rTag, r.Tags)
	b = putPairs(b, rNote, r.Notes)
	b = putBytes(b, rClass, r.Class)
	b = putInt(b, rLeft, r.Left)
	for _, n := range r.Drop {
		b = putInt(b, rDrop, int64(n)+1) // stored plus 1, since 0 is left out
	}
	b = putBool(b, rNotWhole, r.NotWhole)
	b = putBool(b, rRefuse, r.Refuse)
	b = putBytes(b, rReason, r.Reason)
	b = putInt(b, rRetryAfter, r.RetryAfter)
	for _, l := range r.Log {
		b = putBytes(b, rLog, l)
	}
	for _, c := range r.Claims {
		for i, name := range claimNames {
			if name == c {
				b = putBytes(b, firstClaim+i, "!")
			}
		}
	}
	return b
}

// forEachField calls each with every field of a message, in order. It stops at the first
// error.
func forEachField(b []byte, each func(field int, payload []byte) error) error {
	for len(b) > 0 {
		field, n := binary.Uvarint(b)
		if n <= 0 || field == 0 || field > 1<<16 {
			return &Error{0, "not a field number"}
		}
		b = b[n:]
		size, n := binary.Uvarint(b)
		if n <= 0 {
			return errTruncated
		}
		b = b[n:]
		if size > uint64(len(b)) {
			return errTruncated
		}
		if err := each(int(field), b[:size]); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}

// checkHeader checks the size and the header of a message and returns its fields.
func checkHeader(b []byte) ([]byte, error) {
	if len(b) > MaxBytes {
		return nil, &Error{0, "more than " + strconv.Itoa(MaxBytes) + " bytes"}
	}
	if len(b) < 3 || b[0] != 'S' || b[1] != 'H' {
		return nil, &Error{0, "does not begin with SH"}
	}
	if b[2] != Version {
		return nil, &Error{0, "version " + strconv.Itoa(int(b[2])) + ", not " + strconv.Itoa(Version)}
	}
	return b[3:], nil
}

// payloadReader decodes payloads of the current field. It keeps the first error.
type payloadReader struct {
	field int
	err   error
}

func (r *payloadReader) fail(problem string) {
	if r.err == nil {
		r.err = &Error{r.field, problem}
	}
}

func (r *payloadReader) int(b []byte) int64 {
	v, n := binary.Varint(b)
	if n <= 0 || n != len(b) {
		r.fail("not a whole number")
	}
	return v
}

// smallInt decodes a number that must fit into 32 bits.
func (r *payloadReader) smallInt(b []byte) int {
	v := r.int(b)
	if v < math.MinInt32 || v > math.MaxInt32 {
		r.fail("number out of range")
		return 0
	}
	return int(v)
}

func (r *payloadReader) bool(b []byte) bool {
	v := r.int(b)
	if v != 0 && v != 1 {
		r.fail("neither 0 nor 1")
	}
	return v == 1
}

func (r *payloadReader) float(b []byte) float64 {
	if len(b) != 8 {
		r.fail("not 8 bytes")
		return 0
	}
	return math.Float64frombits(binary.LittleEndian.Uint64(b))
}

func (r *payloadReader) text(b []byte) string {
	if !utf8.Valid(b) {
		r.fail("not UTF-8")
	}
	return string(b)
}

func (r *payloadReader) pair(b []byte) (p Pair) {
	err := forEachField(b, func(f int, payload []byte) error {
		switch f {
		case kName:
			p.Name = r.text(payload)
		case kValue:
			p.Value = r.text(payload)
		default:
			return &Error{f, "unknown in a pair"}
		}
		return nil
	})
	if err != nil {
		r.fail(err.Error())
	}
	return p
}

// DecodeView decodes a view.
func DecodeView(b []byte) (*View, error) {
	b, err := checkHeader(b)
	if err != nil {
		return nil, err
	}
	v, reader := &View{Part: -1}, &payloadReader{}
	err = forEachField(b, func(f int, p []byte) error {
		reader.field = f
		switch f {
		case vPoint:
			n := reader.int(p)
			if n < 0 || n >= int64(Points) {
				reader.fail("no such point")
				n = 0
			}
			v.Point = Point(n)
		case vID:
			v.ID = reader.text(p)
		case vClass:
			v.Class = reader.text(p)
		case vKey:
			v.Key = reader.text(p)
		case vTenant:
			v.Tenant = reader.text(p)
		case vText:
			v.Text = reader.text(p)
		case vRepeat:
			v.Repeat = reader.bool(p)
		case vTakenAt:
			v.TakenAt = reader.int(p)
		case vLeft:
			v.Left = reader.int(p)
		case vSeed:
			v.Seed = uint64(reader.int(p))
		case vTag:
			v.Tags = append(v.Tags, reader.pair(p))
		case vNote:
			v.Notes = append(v.Notes, reader.pair(p))
		case vPart:
			if len(v.Parts) >= MaxList {
				return &Error{f, "too many"}
			}
			v.Parts = append(v.Parts, reader.part(p))
		case vPartIndex:
			v.Part = reader.smallInt(p) - 1
		case vAttempt:
			v.Attempt = reader.smallInt(p)
		case vEnding:
			v.Ending = reader.text(p)
		case vWhole:
			v.Whole = reader.bool(p)
		case vShare:
			v.Share = reader.float(p)
		default:
			return &Error{f, "unknown in a view"}
		}
		return reader.err
	})
	if err == nil && (v.Part < -1 || v.Part >= len(v.Parts)) {
		err = &Error{vPartIndex, "no such part"}
	}
	return v, err
}

func (r *payloadReader) part(b []byte) (v PartView) {
	err := forEachField(b, func(f int, p []byte) error {
		switch f {
		case pShard:
			v.Shard = r.smallInt(p)
		case pWeight:
			v.Weight = r.float(p)
		case pKey:
			v.Key = r.text(p)
		case pAttempts:
			v.Attempts = r.smallInt(p)
		case pServed:
			v.Served = r.bool(p)
		case pDropped:
			v.Dropped = r.bool(p)
		case pValue:
			v.Value = r.text(p)
		default:
			return &Error{f, "unknown in a part"}
		}
		return nil
	})
	if err != nil {
		r.fail(err.Error())
	}
	return v
}

// DecodeResult decodes a result and checks its limits. The host decides whether its requests
// are granted.
func DecodeResult(b []byte) (*Result, error) {
	b, err := checkHeader(b)
	if err != nil {
		return nil, err
	}
	r, reader := &Result{}, &payloadReader{}
	err = forEachField(b, func(f int, p []byte) error {
		reader.field = f
		switch f {
		case rTag:
			r.Tags = append(r.Tags, reader.pair(p))
		case rNote:
			r.Notes = append(r.Notes, reader.pair(p))
		case rClass:
			r.Class = reader.text(p)
		case rLeft:
			r.Left = reader.int(p)
		case rDrop:
			r.Drop = append(r.Drop, reader.smallInt(p)-1)
		case rNotWhole:
			r.NotWhole = reader.bool(p)
		case rRefuse:
			r.Refuse = reader.bool(p)
		case rReason:
			r.Reason = reader.text(p)
		case rRetryAfter:
			r.RetryAfter = reader.int(p)
		case rLog:
			r.Log = append(r.Log, reader.text(p))
		default:
			if i := f - firstClaim; i >= 0 && i < len(claimNames) {
				r.Claims = append(r.Claims, claimNames[i])
				return nil
			}
			return &Error{f, "unknown in an answer"}
		}
		return reader.err
	})
	if err != nil {
		return nil, err
	}
	return r, r.Check()
}

// Claim reports whether name is a request that is never granted.
func Claim(name string) bool {
	for _, c := range claimNames {
		if c == name {
			return true
		}
	}
	return false
}

// Check checks the limits of a result. It applies to all engines, whatever form their results
// have.
func (r *Result) Check() error {
	for _, list := range [][]Pair{r.Tags, r.Notes} {
		if len(list) > MaxPairs {
			return errors.New("more than " + strconv.Itoa(MaxPairs) + " tags or notes")
		}
		for _, p := range list {
			if !Name(p.Name) {
				return errors.New("name " + strconv.Quote(truncate(p.Name)) + ": 1 to 32 of a-z, 0-9 and -")
			}
			if len(p.Value) > MaxValue || !printable(p.Value) {
				return errors.New("value of " + p.Name + ": at most 256 printable characters")
			}
		}
	}
	switch {
	case len(r.Drop) > MaxList:
		return errors.New("drop: too many shards")
	case slices.ContainsFunc(r.Drop, func(n int) bool { return n < 0 }):
		return errors.New("drop: a shard below 0")
	case len(r.Reason) > MaxReason || !printable(r.Reason):
		return errors.New("reason: at most 200 printable characters")
	case r.Left < 0:
		return errors.New("time left: below 0")
	case r.RetryAfter < 0:
		return errors.New("retry advice: below 0")
	case !r.Refuse && (r.Reason != "" || r.RetryAfter != 0):
		return errors.New("a reason or retry advice without a refusal")
	case len(r.Log) > MaxPairs:
		return errors.New("more than " + strconv.Itoa(MaxPairs) + " log lines")
	}
	for _, l := range r.Log {
		if len(l) > MaxValue {
			return errors.New("log line: more than 256 bytes")
		}
	}
	return nil
}

// truncate returns the first MaxKey bytes of s.
func truncate(s string) string {
	if len(s) > MaxKey {
		return s[:MaxKey]
	}
	return s
}

// Name reports whether s is a valid name of a tag, a note or a hook.
func Name(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return s != "" && len(s) <= MaxKey
}

// printable reports whether s consists of printable ASCII characters, so that it can be the
// value of a header.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
