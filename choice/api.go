package choice

// The interface: settings, events and actions. It is wider than what the router uses. A field or event marked
// "not used" has no effect on any decision. An action marked "never returned" is not returned by Step.

// Micros is a clock reading or a duration in microseconds. The caller chooses the clock's origin; the clock
// must not run backwards.
type Micros = int64

// Effect says whether a part of a class may be executed more than once.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated and rejected freely
	Keyed                // servers drop repeats for Class.DedupWindow after the first that may have run
	Unsafe               // repeated only if no attempt can have run
)

// Settings configure a router at its start. A zero field is one that the deployment does not set.
type Settings struct {
	Classes         []Class
	ClassesLater    bool // Classes events bring the classes
	Tenants         []Tenant
	Routers         int    // routers in this tier, including this one
	Resolution      Micros // least time between two batches
	Shards          int    // not used: Part.Shard may have any value from 0
	Cells           int    // shard s is stored by cells s, s+1, ... s+Width-1, modulo Cells
	Width           int    // number of consecutive cells that store a shard
	MaxPartsPerCall int    // parts that one call may carry
	PerCallWork     Micros // not used: server work per call in addition to the work of its parts
	AskDiscovery    bool   // the server list has to be requested

	Cancel           bool   // the Cancel action is permitted
	ParallelAttempts bool   // two attempts of a part may be in flight at once
	Probes           bool   // not used
	RetryAdvice      bool   // not used: some clients follow Refuse.RetryAfter, which is given in any case
	MaxRetryAfter    Micros // the longest Refuse.RetryAfter that clients follow
	AttemptCap       int    // attempts per part
	Keepalive        Micros // an idle connection is closed after this

	AnswerSlack Micros // not used
	AskWithin   Micros // sets the pauses between requests for the list, each at most a quarter of it
	DrainGrace  Micros // how long a draining server still serves; it is a last resort for up to half of that

	StartCapacity float64 // the least share of its capacity that a server has when it starts
	SlowStart     Micros  // a started server has its full capacity after this time at the latest
	// OverloadMultiple bounds the load of a server in slow start: it fails if it is sent more than this
	// multiple of its present capacity during an OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   Micros

	RetryBudget       bool    // the RetryBudget fields below apply to retries and hedges, not the defaults
	RetryBudgetMin    float64 // extra attempts allowed in a window, whatever the traffic
	RetryBudgetRatio  float64 // further extra attempts per query and part that arrived in the window
	RetryBudgetWindow Micros  // length of the sliding window of the budget
	// RetryBudgetPerShard divides the budget: the parts of shards that are equal modulo Cells have one of
	// their own, and queries don't count as arrivals. Else one budget applies to all parts together.
	RetryBudgetPerShard bool

	// A part is overdue after OverdueMultiple times its class's upper latency quantile (0: 1.5), but no later
	// than after OverdueMaxShare of the latency target (0: 0.4).
	OverdueMultiple float64
	OverdueMaxShare float64
}

// Class is a class of query.
type Class struct {
	Name                 string
	LatencyTarget        Micros  // an answer within it earns the full value
	LatencyTargetStretch float64 // this multiple of Query.Predicted is added to LatencyTarget, up to Deadline
	Deadline             Micros  // the client's total timeout, over its first try and its retries
	DedupWindow          Micros  // for Keyed
	Effect               Effect
	LateValue            float64 // share of the value earned by an answer after the latency target
	Value                float64 // not used
	RequiredShare        float64 // share of the first step's weight that makes a complete answer
	MinShare             float64 // least share for a partial answer
	PartialValue         float64 // a partial answer earns this times (share / RequiredShare)^PartialExponent
	PartialExponent      float64 // 0: 1
	FetchParts           int     // parts of the second step; 0: one step
	Attempts             int     // per part; 0: Settings.AttemptCap
}

// Tenant is a customer. QuotaPerS is the traffic within its quota, in queries per second over all routers.
type Tenant struct {
	Name      string
	QuotaPerS float64
}

// State is the state of a server according to the list.
type State int

// The states of a listed server.
const (
	Gone     State = 0
	Ready    State = 1
	Draining State = 2
)

// Server is one row of a list.
type Server struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   State
	Scale   float64 // capacity relative to the other servers
	Far     int     // distance; 0: nearby. A greater distance means a more expensive and slower path.
	UpSince Micros  // its latest start; 0: not reported: just now for a new server in a Delta, else long ago
	Slow    float64 // how many times slower than its peers, if the routers together ejected it; else 0
}

// Form says how a List is to be read.
type Form int

// The forms of a list.
const (
	Delta  Form = iota // changed rows only
	Full               // every server; a server that is missing is gone
	Cached             // as Full, possibly stale
	Failed             // a requested list did not arrive; the last one stays in use
)

// Verdict is the result of an attempt.
type Verdict int

// The verdicts. Rejected, NoConnection and NotSent prove that the attempt never ran.
const (
	Served Verdict = iota
	ServerError
	Rejected
	NoAnswer
	NoConnection
	ConnectionLost
	Cancelled
	NotSent
)

// Event is something that happened at a router: one of the event types below.
type Event interface{ event() }

// List brings the server list or changes to it.
type List struct {
	Form    Form
	Version int64 // not used
	Servers []Server
	Since   Micros // for pushed lists: the greatest possible age of its changes
}

// Query is a query that arrived. Its parts follow as Part events in the same Step.
type Query struct {
	ID        string // names the query in actions and in ClientLeft
	Class     string
	Number    int64  // the same as Part.Number of its parts
	Key       string // not used
	Grace     Micros // time left until the client's timeout for this try
	Tenant    string
	Hinted    bool // not used
	Repeat    bool // a retry by the client
	Write     bool // not used
	Parts     int  // number of parts; only sizes memory
	Predicted Micros
	Least     float64 // share accepted without capacity for the class's RequiredShare; 0: no less
}

// Part is one part of a query. The parts of the first step come in the Step of their Query, those of the
// second in the Step after the query's first Answer.
type Part struct {
	ID        string
	Class     string // not used
	Number    int64  // Query.Number of its query
	Key       string // not used
	Shard     int
	Weight    float64
	Hinted    bool // Predicted is set
	Predicted Micros
}

// Outcome ends one attempt. There is exactly one per Send. The router reads only ID, Attempt and Verdict.
type Outcome struct {
	ID      string // of the part
	Server  string
	Delay   Micros // since the send
	Closed  bool   // the part has ended
	Attempt int
	Verdict Verdict
	Load    []Reading
}

// Reading is one value of a server's load report. Not used.
type Reading struct {
	Name  string
	Value float64
}

// ProbeResult ends one Probe. Not used.
type ProbeResult struct {
	Server  string
	Delay   Micros
	Verdict Verdict
	Load    []Reading
}

// ClientLeft says that the client of a query has disconnected.
type ClientLeft struct{ ID string }

// Elapsed says that a Wake is due. Token is not used: each Step runs the timers that are due.
type Elapsed struct{ Token int64 }

// Started says that the answer to an attempt has begun. Not used.
type Started struct {
	ID      string
	Server  string
	Delay   Micros
	Attempt int
}

// PeerMessage is a message from another router. Not used.
type PeerMessage struct {
	From  int64
	Bytes []byte
}

// Classes replaces all classes. A class whose name is kept keeps its learned latencies and faults.
type Classes struct{ List []Class }

// Tier reports a change of the tier: the number of its routers, including this one, and this router's share
// of Settings.RetryBudgetMin.
type Tier struct {
	Routers        int
	RetryBudgetMin float64
}

func (List) event()        {}
func (Classes) event()     {}
func (Tier) event()        {}
func (Query) event()       {}
func (Part) event()        {}
func (Outcome) event()     {}
func (ProbeResult) event() {}
func (ClientLeft) event()  {}
func (Elapsed) event()     {}
func (Started) event()     {}
func (PeerMessage) event() {}

// Action is something the caller must do, in the given order: one of the action types below.
type Action interface{ action() }

// Send starts an attempt of a part. The attempts of a part are numbered from 0.
type Send struct {
	ID      string
	Server  string
	Timeout Micros
}

// Cancel ends the wait for one attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Answer answers a query from the parts served. Whole marks a complete answer. In a class with a second step
// the first Answer brings further parts.
type Answer struct {
	ID    string
	Whole bool
}

// Refuse rejects a query and promises that a retry does no harm.
type Refuse struct {
	ID         string
	RetryAfter Micros // 0: no advice
}

// Fail ends a query and promises nothing.
type Fail struct{ ID string }

// Wake asks for an Elapsed after Delay. It can't be revoked. Token is always 0.
type Wake struct {
	Delay Micros
	Token int64
}

// Probe asks the caller to probe a server. Never returned.
type Probe struct{ Server string }

// Release closes the idle connections to a server.
type Release struct{ Server string }

// SendToPeer sends a message to one router of the tier, or to all if Peer is negative. Never returned.
type SendToPeer struct {
	Peer  int64
	Bytes []byte
}

// Log adds a line to the caller's log. Never returned.
type Log struct{ Text string }

// Watch starts or ends a subscription to the server list.
type Watch struct{ On bool }

// Fetch requests the complete server list once. Never returned.
type Fetch struct{}

func (Send) action()       {}
func (Cancel) action()     {}
func (Answer) action()     {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (Wake) action()       {}
func (Probe) action()      {}
func (Release) action()    {}
func (SendToPeer) action() {}
func (Log) action()        {}
func (Watch) action()      {}
func (Fetch) action()      {}
