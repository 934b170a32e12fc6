package choice

// Micros is a clock reading or a span in microseconds. The clock's origin is
// the caller's; it must not run backwards.
type Micros = int64

// Effect says what a repeated part of a class may do.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // repeats are dropped for Class.MemorySpan after the first that may have run
	Unsafe               // repeated only when no attempt can have run
)

// Settings are what a deployment tells its router at start. A zero field is
// one the deployment did not tell.
type Settings struct {
	Classes         []Class
	ClassesLater    bool // they come by Classes events
	Tenants         []Tenant
	Routers         int    // routers in this tier, this one included
	Resolution      Micros // least time between two batches
	Shards          int
	Cells           int    // shard s is held by cells s, s+1, ... s+Width-1, modulo Cells
	Width           int    // consecutive cells that hold a shard
	MaxPartsPerCall int    // parts one call may carry
	PerCallWork     Micros // server work per call beside that of its parts
	AskDiscovery    bool   // the server list must be asked for

	Cancel           bool // Cancel is permitted
	ParallelAttempts bool // two attempts of a part may be out at once
	Probes           bool
	RetryAdvice      bool   // some clients heed Refuse.RetryAfter; it is told either way
	MaxRetryAfter    Micros // the longest advice they heed
	AttemptCap       int    // attempts per part
	Keepalive        Micros // an idle connection is closed after this

	AnswerSlack         Micros
	AskWithin           Micros
	DrainGrace          Micros
	StartCapacity       float64 // a server starts at no less than this share of its capacity
	SlowStart           Micros  // and is warm no later than this
	OverloadMultiple    float64 // sent more than this multiple of its capacity
	OverloadWindow      Micros  // for so long, a cold server fails
	RetryBudget         bool    // the three below bind
	RetryBudgetMin      float64 // further attempts allowed in a window whatever the traffic
	RetryBudgetRatio    float64 // and per query and part taken in it
	RetryBudgetWindow   Micros
	RetryBudgetPerShard bool    // they bind each shard's parts by themselves, not all together
	OverdueMultiple     float64 // a part is overdue after so many times its class's upper quantile; 0: 1.5
	OverdueMaxShare     float64 // but no later than this share of the aim; 0: 0.4
}

// Class is a class of query.
type Class struct {
	Name                 string
	LatencyTarget        Micros // an answer within it earns the full worth
	LatencyTargetStretch float64
	Deadline             Micros // the client's whole patience, over all its tries
	DedupWindow          Micros // for Keyed
	Effect               Effect
	LateValue            float64 // share of the worth earned after the aim
	Value                float64
	RequiredShare        float64 // share of the first step's weight that makes a whole answer
	MinShare             float64 // least share for an answer that is not whole
	PartialValue         float64 // such an answer earns this x (share / Need) to the Power
	PartialExponent      float64 // 0: 1
	FetchParts           int     // parts of the second step; 0: one step
	Attempts             int     // per part; 0: Settings.AttemptCap
}

// Tenant is a customer and the traffic within its share, over all routers.
type Tenant struct {
	Name      string
	QuotaPerS float64
}

// State is what the list says of a server.
type State int

// The states of a listed server.
const (
	Gone     State = 0
	Ready    State = 1
	Draining State = 2
)

// Server is one line of a list.
type Server struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   State
	Scale   float64 // size beside the other servers
	Far     int     // 0: nearby; the more, the dearer and slower the way there
	UpSince Micros  // latest start; 0: long ago
	Slow    float64 // all routers together set it apart as so many times slower than its peers; 0: they don't
}

// Form says how a List is to be read.
type Form int

// The forms of a list.
const (
	Delta  Form = iota // changed lines only
	Full               // every server; one left out is gone
	Cached             // as Full, possibly stale
	Failed             // an asked list did not come; the old one stands
)

// Verdict says how an attempt ended.
type Verdict int

// The verdicts. TurnedAway, NoConnection and NotSent prove that it never ran.
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
	Version int64
	Servers []Server
	Since   Micros // where lists are pushed: how long ago its news may have counted as told
}

// Query is a query taken. Its parts follow as Part events in the same Step.
type Query struct {
	ID        string
	Class     string
	Number    int64 // shared with its parts
	Key       string
	Grace     Micros // until the client gives this try up
	Tenant    string
	Hinted    bool // Predicted holds
	Repeat    bool // a client's later try
	Write     bool
	Parts     int
	Predicted Micros
	Least     float64 // share that will do where there is no room for the class's; 0: none less
}

// Part is one part of a query: of its first step in the Step of its Query, of
// the second in the Step after the query's first Answer.
type Part struct {
	ID        string
	Class     string
	Number    int64
	Key       string
	Shard     int
	Weight    float64
	Hinted    bool
	Predicted Micros
}

// Outcome ends one attempt; there is exactly one per Send.
type Outcome struct {
	ID      string // of the part
	Server  string
	Delay   Micros // since the send
	Closed  bool   // the part has ended
	Attempt int
	Verdict Verdict
	Load    []Reading
}

// Reading is one value of a server's load report.
type Reading struct {
	Name  string
	Value float64
}

// ProbeResult ends one Probe.
type ProbeResult struct {
	Server  string
	Delay   Micros
	Verdict Verdict
	Load    []Reading
}

// ClientLeft says that the client of a query has gone.
type ClientLeft struct{ ID string }

// Elapsed says that a Wake is due.
type Elapsed struct{ Token int64 }

// Started says that an attempt of a streamed class has begun its answer.
type Started struct {
	ID      string
	Server  string
	Delay   Micros
	Attempt int
}

// Mail is a message from another router.
type PeerMessage struct {
	From  int64
	Bytes []byte
}

// Classes brings all classes anew: those of a name that stays keep what was learned.
type Classes struct{ List []Class }

// Tier brings news of the tier: how many routers it has, this one included, and what of
// the extra budget's spare is this one's.
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

// Action is something the caller must do, in the order given: one of the
// action types below.
type Action interface{ action() }

// Send starts an attempt for a part. Attempts of a part count from 0.
type Send struct {
	ID      string
	Server  string
	Timeout Micros
}

// Cancel ends the wait on one attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Answer answers a query from the parts served. In a class with a second step
// the first whole Answer brings further parts.
type Answer struct {
	ID    string
	Whole bool
}

// Refuse ends a query and promises that asking again does no harm.
type Refuse struct {
	ID         string
	RetryAfter Micros // 0: no advice
}

// Fail ends a query and promises nothing.
type Fail struct{ ID string }

// Wake asks for an Elapsed after Delay. It can't be revoked.
type Wake struct {
	Delay Micros
	Token int64
}

// Probe tests a server.
type Probe struct{ Server string }

// Release closes idle connections to a server.
type Release struct{ Server string }

// Tell sends a message to one router of the tier, or to all (Peer below 0).
type SendToPeer struct {
	Peer  int64
	Bytes []byte
}

// Log adds a line to the caller's log.
type Log struct{ Text string }

// Watch starts or ends a subscription to the server list.
type Watch struct{ On bool }

// Fetch asks for the whole server list once.
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
