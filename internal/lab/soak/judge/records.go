// Package judge decides from the records of clients, operators and servers whether the system kept
// its rules. It knows which configurations were sent and acknowledged at which time, what each of
// them prescribes for a request, and which faults were injected on which machine. It uses no
// information from the system itself and does no I/O.
package judge

import "time"

// Route is the route of one path prefix in a configuration.
type Route struct {
	Services      []string // any of them may serve a request; a fan-out route sends a part to each of them
	Gathered      bool     // a fan-out route
	NonIdempotent bool
	TimeoutMs     int
}

// Change is a configuration sent by an operator.
type Change struct {
	Revision     int64
	Routes       map[string]Route // by prefix; nil: the configuration is invalid
	SentAt       time.Duration
	AckedAt      time.Duration // 0: not acknowledged
	Refused      bool          // rejected with 4xx
	RefusedAgain bool          // acknowledged, and refused when it was sent again while it was the newest
}

// Request is one attempt of a client.
type Request struct {
	Proxy         string // machine of the proxy
	Attempt       string
	Prefix        string
	NonIdempotent bool
	Gathered      bool
	SentAt        time.Duration
	EndedAt       time.Duration
	Status        int      // 0: no complete response
	Body          string   // of a successful response
	Stamps        []string // signatures of the response or of its parts
	Missing       int      // parts that the response reports as missing
	Abandoned     bool     // the client closed the connection on purpose
	Life          int      // incarnation of the proxy: the number of its starts; 0: it was restarted during the request
}

// Run is the execution of one request by a server.
type Run struct {
	Attempt, Server, Service, Target string
	At                               time.Duration
	BrokeOff                         bool // the server executed it and reset the connection without a response
}

// Read is a configuration read from a control-plane machine.
type Read struct {
	Machine         string
	SentAt, EndedAt time.Duration
	Status          int
	Revision        int64
	SameContent     bool // the content is one that was sent under its revision
}

// Leave is a server that leaves. Requests may reach it for the drain time after the acknowledgement.
type Leave struct {
	Server  string
	AckedAt time.Duration
	Machine string // the machine that acknowledged it
}

// Disturbance is a span in which a fault affected a machine.
type Disturbance struct {
	Machine  string
	Planned  bool // SIGTERM or SIGHUP
	Harmless bool // the machine stays in contact: SIGHUP
	Core     bool // a control-plane machine
	From, To time.Duration
}

// Record is all observations of a run. Its fields are encoded as JSON under their names.
type Record struct {
	Changes      []Change
	Requests     []Request
	Runs         []Run
	Reads        []Read
	Leaves       []Leave
	Disturbances []Disturbance
	Cores        int
	End          time.Duration
}

// Bounds are the time bounds of the rules.
type Bounds struct {
	Contact, ConfigApply, DowngradeSlack, LossSlack, Drain time.Duration
}

// Finding is a broken rule.
type Finding struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Process string        `json:"process"`
	Request string        `json:"request,omitempty"`
	What    string        `json:"what"`
}
