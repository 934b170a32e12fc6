package hookabi

// This file is the binary form.

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"
)

// Error is bytes that are no message, with the field at fault (0: none).
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

var errShort = &Error{0, "ends in the middle of a field"}

// The numbers of a view's fields.
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

// The numbers of a part's fields, and of a pair's.
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

// The numbers of an answer's fields. Those from claims on are what no hook may
// ask for.
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

	claims = 64
)

var claimNames = []string{"id", "value", "whole", "server", "resend", "answer", "status"}

func head(b []byte) []byte { return append(b, 'S', 'H', Version) }

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

// AppendView appends a view's binary form.
func AppendView(b []byte, v *View) []byte {
	b = head(b)
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
	b = putInt(b, vPartIndex, int64(v.Part)+1) // 0, left out, is -1
	b = putInt(b, vAttempt, int64(v.Attempt))
	b = putBytes(b, vEnding, v.Ending)
	b = putBool(b, vWhole, v.Whole)
	return putFloat(b, vShare, v.Share)
}

// AppendResult appends an answer's binary form.
func AppendResult(b []byte, r *Result) []byte {
	b = head(b)
	b = putPairs(b, rTag, r.Tags)
	b = putPairs(b, rNote, r.Notes)
	b = putBytes(b, rClass, r.Class)
	b = putInt(b, rLeft, r.Left)
	for _, n := range r.Drop {
		b = putInt(b, rDrop, int64(n)+1) // 0 would be left out
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
				b = putBytes(b, claims+i, "!")
			}
		}
	}
	return b
}

// fields walks over the fields of a message.
func fields(b []byte, each func(field int, payload []byte) error) error {
	for len(b) > 0 {
		field, n := binary.Uvarint(b)
		if n <= 0 || field == 0 || field > 1<<16 {
			return &Error{0, "not a field number"}
		}
		b = b[n:]
		size, n := binary.Uvarint(b)
		if n <= 0 {
			return errShort
		}
		b = b[n:]
		if size > uint64(len(b)) {
			return errShort
		}
		if err := each(int(field), b[:size]); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}

func open(b []byte) ([]byte, error) {
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

// take reads payloads and keeps the first fault.
type take struct {
	field int
	err   error
}

func (t *take) fail(problem string) {
	if t.err == nil {
		t.err = &Error{t.field, problem}
	}
}

func (t *take) int(b []byte) int64 {
	v, n := binary.Varint(b)
	if n <= 0 || n != len(b) {
		t.fail("not a whole number")
	}
	return v
}

func (t *take) small(b []byte) int {
	v := t.int(b)
	if v < math.MinInt32 || v > math.MaxInt32 {
		t.fail("number out of range")
		return 0
	}
	return int(v)
}

func (t *take) bool(b []byte) bool {
	v := t.int(b)
	if v != 0 && v != 1 {
		t.fail("neither 0 nor 1")
	}
	return v == 1
}

func (t *take) float(b []byte) float64 {
	if len(b) != 8 {
		t.fail("not 8 bytes")
		return 0
	}
	return math.Float64frombits(binary.LittleEndian.Uint64(b))
}

func (t *take) text(b []byte) string {
	if !utf8.Valid(b) {
		t.fail("not UTF-8")
	}
	return string(b)
}

func (t *take) pair(b []byte) (p Pair) {
	err := fields(b, func(f int, payload []byte) error {
		switch f {
		case kName:
			p.Name = t.text(payload)
		case kValue:
			p.Value = t.text(payload)
		default:
			return &Error{f, "unknown in a pair"}
		}
		return nil
	})
	if err != nil {
		t.fail(err.Error())
	}
	return p
}

// DecodeView reads a view.
func DecodeView(b []byte) (*View, error) {
	b, err := open(b)
	if err != nil {
		return nil, err
	}
	v, t := &View{Part: -1}, &take{}
	err = fields(b, func(f int, p []byte) error {
		t.field = f
		switch f {
		case vPoint:
			n := t.int(p)
			if n < 0 || n >= int64(Points) {
				t.fail("no such point")
				n = 0
			}
			v.Point = Point(n)
		case vID:
			v.ID = t.text(p)
		case vClass:
			v.Class = t.text(p)
		case vKey:
			v.Key = t.text(p)
		case vTenant:
			v.Tenant = t.text(p)
		case vText:
			v.Text = t.text(p)
		case vRepeat:
			v.Repeat = t.bool(p)
		case vTakenAt:
			v.TakenAt = t.int(p)
		case vLeft:
			v.Left = t.int(p)
		case vSeed:
			v.Seed = uint64(t.int(p))
		case vTag:
			v.Tags = append(v.Tags, t.pair(p))
		case vNote:
			v.Notes = append(v.Notes, t.pair(p))
		case vPart:
			if len(v.Parts) >= MaxList {
				return &Error{f, "too many"}
			}
			v.Parts = append(v.Parts, t.part(p))
		case vPartIndex:
			v.Part = t.small(p) - 1
		case vAttempt:
			v.Attempt = t.small(p)
		case vEnding:
			v.Ending = t.text(p)
		case vWhole:
			v.Whole = t.bool(p)
		case vShare:
			v.Share = t.float(p)
		default:
			return &Error{f, "unknown in a view"}
		}
		return t.err
	})
	if err == nil && (v.Part < -1 || v.Part >= len(v.Parts)) {
		err = &Error{vPartIndex, "no such part"}
	}
	return v, err
}

func (t *take) part(b []byte) (v PartView) {
	err := fields(b, func(f int, p []byte) error {
		switch f {
		case pShard:
			v.Shard = t.small(p)
		case pWeight:
			v.Weight = t.float(p)
		case pKey:
			v.Key = t.text(p)
		case pAttempts:
			v.Attempts = t.small(p)
		case pServed:
			v.Served = t.bool(p)
		case pDropped:
			v.Dropped = t.bool(p)
		case pValue:
			v.Value = t.text(p)
		default:
			return &Error{f, "unknown in a part"}
		}
		return nil
	})
	if err != nil {
		t.fail(err.Error())
	}
	return v
}

// DecodeResult reads an answer. What it holds is bounded; whether it may be
// granted is for the host to say.
func DecodeResult(b []byte) (*Result, error) {
	b, err := open(b)
	if err != nil {
		return nil, err
	}
	r, t := &Result{}, &take{}
	err = fields(b, func(f int, p []byte) error {
		t.field = f
		switch f {
		case rTag:
			r.Tags = append(r.Tags, t.pair(p))
		case rNote:
			r.Notes = append(r.Notes, t.pair(p))
		case rClass:
			r.Class = t.text(p)
		case rLeft:
			r.Left = t.int(p)
		case rDrop:
			r.Drop = append(r.Drop, t.small(p)-1)
		case rNotWhole:
			r.NotWhole = t.bool(p)
		case rRefuse:
			r.Refuse = t.bool(p)
		case rReason:
			r.Reason = t.text(p)
		case rRetryAfter:
			r.RetryAfter = t.int(p)
		case rLog:
			r.Log = append(r.Log, t.text(p))
		default:
			if i := f - claims; i >= 0 && i < len(claimNames) {
				r.Claims = append(r.Claims, claimNames[i])
				return nil
			}
			return &Error{f, "unknown in an answer"}
		}
		return t.err
	})
	if err != nil {
		return nil, err
	}
	return r, r.Check()
}

// Claim tells whether a name is one of what no hook may ask for.
func Claim(name string) bool {
	for _, c := range claimNames {
		if c == name {
			return true
		}
	}
	return false
}

// Check tells whether an answer keeps the bounds, in whichever form it came.
func (r *Result) Check() error {
	for _, list := range [][]Pair{r.Tags, r.Notes} {
		if len(list) > MaxPairs {
			return errors.New("more than " + strconv.Itoa(MaxPairs) + " tags or notes")
		}
		for _, p := range list {
			if !Name(p.Name) {
				return errors.New("name " + strconv.Quote(cut(p.Name)) + ": 1 to 32 of a-z, 0-9 and -")
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

func cut(s string) string {
	if len(s) > MaxKey {
		return s[:MaxKey]
	}
	return s
}

// Name tells whether a word can name a tag, a note or a hook.
func Name(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return s != "" && len(s) <= MaxKey
}

// printable tells whether a value can stand in a header line.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
