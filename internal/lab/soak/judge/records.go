// Package judge decides from what clients, operators and servers recorded whether the system kept
// its rules. It knows which configurations were sent and acknowledged when, what each of them says
// of a request, and which faults struck which machine; it never asks the system. It does no I/O.
package judge

import "time"

// Route is what a configuration says of one path prefix.
type Route struct {
	Services      []string // any of which may serve a request; of a gathered route all of them are asked
	Gathered      bool
	NonIdempotent bool
	TimeoutMs     int
}

// Change is a configuration as an operator sent it.
type Change struct {
	Revision     int64
	Routes       map[string]Route // by prefix; nil: the configuration is not valid
	SentAt       time.Duration
	AckedAt      time.Duration // 0: it was not acknowledged
	Refused      bool          // answered 4xx
	RefusedAgain bool          // acknowledged, sent once more while it was the newest, and then refused
}

// Request is one attempt of a client.
type Request struct {
	Proxy         string // machine
	Attempt       string
	Prefix        string
	NonIdempotent bool
	Gathered      bool
	SentAt        time.Duration
	EndedAt       time.Duration
	Status        int    // 0: no complete answer
	Body          string // of a success
	Stamps        []string
	Missing       int
	Abandoned     bool // the client left on purpose
	Life          int  // of the proxy: how often it had been started; 0: it was started again meanwhile
}

// Run is one request at a server.
type Run struct {
	Attempt, Server, Service, Target string
	At                               time.Duration
	BrokeOff                         bool // the server ran it and ended the connection without an answer
}

// Read is a configuration that was read back.
type Read struct {
	Machine         string
	SentAt, EndedAt time.Duration
	Status          int
	Revision        int64
	SameContent     bool // as the one that was sent under its revision
}

// Leave is a server that leaves: requests may reach it for a while after the acknowledgement.
type Leave struct {
	Server  string
	AckedAt time.Duration
	Machine string // that acknowledged
}

// Disturbance is a span in which a fault had a machine in its hands.
type Disturbance struct {
	Machine  string
	Planned  bool // SIGTERM or SIGHUP
	Harmless bool // it takes no machine out of touch: SIGHUP
	Core     bool // of the control plane
	From, To time.Duration
}

// Record is all that was seen in a run.
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

// Bounds are the figures of the rules.
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
