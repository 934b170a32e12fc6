// Package hookabi defines the versioned view of a query that hooks receive and the result
// that they return. Both the host and the guests use it. It owns the types, their limits and
// their binary form; docs/reference/hooks.md describes them. It must keep its imports small
// enough for a small guest, and decoding must never panic, whatever the input.
//
// Binary form: the two bytes "SH", one byte with Version, then fields. A field is its number
// and the length of its payload, both unsigned varints, followed by the payload: bytes, a
// signed varint, an IEEE 754 number of 8 bytes (least significant byte first) or, for a
// nested message, fields. A list is a repeated field. Fields may be in any order. An unknown
// field is an error: a request that the host does not understand must not look granted.
package hookabi

// Version is the version of the view and the result. A guest reports the version that it
// was built for. The host accepts no other version than its own.
const Version = 1

// Point is a point in the life of a query at which hooks are called.
type Point uint8

// The points, in the order in which a query passes them.
const (
	Taken     Point = iota // the query has been received; nothing has been decided yet
	Admission              // the class and the parts of the query are fixed; the router gets the query next
	Send                   // one part is about to be sent
	Answered               // one part has been answered by a leaf server
	Answer                 // an answer is about to be sent to the client
	Ended                  // the final answer has been sent; the result of a hook has no effect
	Points                 // the number of points
)

var pointNames = [Points]string{"taken", "admission", "send", "answered", "answer", "ended"}

func (p Point) String() string {
	if p < Points {
		return pointNames[p]
	}
	return "unknown"
}

// PointOf returns the point with this name, and whether there is one.
func PointOf(name string) (Point, bool) {
	for i, n := range pointNames {
		if n == name {
			return Point(i), true
		}
	}
	return 0, false
}

// Limits of a view and a result. The host truncates nothing: a result that exceeds a limit is
// invalid.
const (
	MaxBytes  = 256 << 10 // bytes of a binary message
	MaxList   = 4096      // parts of a view, or shards to drop
	MaxPairs  = 16        // tags, notes or log lines of one result
	MaxKey    = 32        // bytes of the name of a tag or note
	MaxValue  = 256       // bytes of the value of a tag or note, or of a log line
	MaxReason = 200       // bytes of the reason of a refusal
)

// Pair is a tag or a note: a name and a value.
type Pair struct{ Name, Value string }

// View is what a hook sees of a query. Times are in microseconds.
type View struct {
	Point   Point
	ID      string // of the query
	Class   string
	Key     string // the key of the query, if it has one
	Tenant  string
	Text    string // the text that is sent with each part
	Repeat  bool   // the client marked the query as a retry
	TakenAt int64  // Unix time in microseconds: the only clock of a hook
	Left    int64  // time until the deadline of the query
	Seed    uint64 // for random numbers; differs between calls, the same when replayed
	Tags    []Pair
	Notes   []Pair
	Parts   []PartView
	Part    int     // Send, Answered: the index of the current part in Parts; otherwise -1
	Attempt int     // Send: the number of the attempt, from 0
	Ending  string  // Answer, Ended: the outcome: answered, refused, failed, expired or gone
	Whole   bool    // Answer, Ended: the answer is marked complete
	Share   float64 // Answer, Ended: the share of the query that is answered
}

// PartView is one part of a query.
type PartView struct {
	Shard    int
	Weight   float64
	Key      string
	Attempts int    // attempts sent so far
	Served   bool   // its value has been received
	Dropped  bool   // dropped by a hook
	Value    string // Answered (the current part only), Answer: as received from the leaf server
}

// Result is what a hook requests. The zero Result requests nothing. Times are in
// microseconds.
type Result struct {
	Tags       []Pair
	Notes      []Pair
	Class      string // Taken: another class, at least as strict
	Left       int64  // a shorter time until the deadline; 0: unchanged
	Drop       []int  // the shards of the parts to drop
	NotWhole   bool   // the answer must not be marked complete
	Refuse     bool
	Reason     string
	RetryAfter int64 // with Refuse: when the client may retry
	Log        []string

	// Claims are requests that are never granted. They have fields so that the error can
	// name the request: the id of a query, a value, the complete mark, a server, another
	// attempt, a second answer, a status.
	Claims []string
}
