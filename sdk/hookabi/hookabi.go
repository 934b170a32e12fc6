// Package hookabi is the one typed, versioned view of a query that hooks get, and
// of what they may answer. Host and guests both use it. It owns the types, their
// bounds and their binary form; docs/reference/hooks.md is its page for people.
// It must never import more than a small guest can carry, nor panic on any bytes.
//
// Binary form: the two bytes "SH", one byte of Version, then fields. A field is
// its number and the length of its payload, both unsigned varints, then the
// payload: bytes, a signed varint, an IEEE 754 number of 8 bytes (least
// significant first) or, again, fields. A list is its field repeated. Fields come
// in any order. A field that the reader does not know is an error: what a hook
// asks for in vain must not look granted.
package hookabi

// Version is the version of the view and the answer. A guest tells which it was
// built for; the host takes that one alone.
const Version = 1

// Point is where in a query's life a hook is asked.
type Point uint8

// The points, in the order of a query's life.
const (
	Taken     Point = iota // the query was read; nothing has been decided
	Admission              // its class and parts are settled; the decisions get it next
	Send                   // one part is about to be sent
	Answered               // one part was served
	Answer                 // an answer is about to go out
	Ended                  // the final answer is out; what the hook says counts for nothing
	Points                 // how many there are
)

var pointNames = [Points]string{"taken", "admission", "send", "answered", "answer", "ended"}

func (p Point) String() string {
	if p < Points {
		return pointNames[p]
	}
	return "unknown"
}

// PointOf reads a point's name.
func PointOf(name string) (Point, bool) {
	for i, n := range pointNames {
		if n == name {
			return Point(i), true
		}
	}
	return 0, false
}

// Bounds of a view and an answer. The host cuts nothing: an answer past them is
// garbage.
const (
	MaxBytes  = 256 << 10 // of a binary message
	MaxList   = 4096      // parts, shards to drop
	MaxPairs  = 16        // tags or notes of one answer
	MaxKey    = 32        // bytes of a tag's or note's name
	MaxValue  = 256       // bytes of its value
	MaxReason = 200       // bytes of a refusal's reason
)

// Pair is a name and a value.
type Pair struct{ Name, Value string }

// View is what a hook sees. Times are in microseconds.
type View struct {
	Point   Point
	ID      string // of the query
	Class   string
	Key     string // what the query is about, where it says so
	Tenant  string
	Text    string // what each part carries
	Repeat  bool   // the client marked it as a further try
	TakenAt int64  // Unix time in microseconds: the only clock there is
	Left    int64  // until the query's deadline
	Seed    uint64 // for random numbers; another one for each call, the same when replayed
	Tags    []Pair
	Notes   []Pair
	Parts   []PartView
	Part    int    // Send, Answered: the index in Parts; else -1
	Attempt int    // Send: counts from 0
	Ending  string // Answer, Ended: answered, refused, failed, expired or gone
	Whole   bool   // Answer, Ended: the answer is marked whole
	Share   float64
}

// PartView is one part of a query.
type PartView struct {
	Shard    int
	Weight   float64
	Key      string
	Attempts int    // sent so far
	Served   bool   // its value is in
	Dropped  bool   // a hook dropped it
	Value    string // at Answered (of that part) and Answer: as the leaf server gave it
}

// Result is what a hook asks for. The zero Result asks for nothing.
type Result struct {
	Tags       []Pair
	Notes      []Pair
	Class      string // another class, as strict at least; Taken only
	Left       int64  // a shorter time left, in microseconds; 0: as it is
	Drop       []int  // shards whose parts are not wanted
	NotWhole   bool   // the answer is not to be marked whole
	Refuse     bool
	Reason     string
	RetryAfter int64 // advice with Refuse, in microseconds
	Log        []string

	// Claims are what no hook may ask for. They have fields so that a refusal can
	// say what was asked: the id of a query, a value, a whole mark, a server, a
	// further attempt, a second answer.
	Claims []string
}
