package exchange

// Counters own the figures that on-call staff ask for. They count; they must
// never be read to decide anything.

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// Counters count what is taken in, sent and answered since the start.
type Counters struct {
	Taken    atomic.Int64 // queries taken
	Repeated atomic.Int64 // of these, the id was held already
	Full     atomic.Int64 // of these, refused for want of room in memory
	Overdue  atomic.Int64 // queries that the last guard ended
	Finals   [5]atomic.Int64
	Partial  atomic.Int64 // answers not marked whole
	Sent     atomic.Int64 // attempts handed to the client side
	Unsent   atomic.Int64 // attempts that were never handed over
	Outcomes [8]atomic.Int64
	Probes   atomic.Int64

	ClientConns         atomic.Int64 // client connections open
	ClientConnsAccepted atomic.Int64 // client connections accepted
	MalformedRequests   atomic.Int64 // requests answered 4xx or 5xx by the framing
	ServerConns         atomic.Int64 // leaf connections open
	Dials               atomic.Int64 // leaf connections tried
	DialFails           atomic.Int64
	Resets              atomic.Int64 // leaf connections that ended under parts
	MalformedAnswers    atomic.Int64 // of these and idle ones, ended for an answer that can't be used
	Unresponsive        atomic.Int64 // leaf connections that fell silent
	LateAnswers         atomic.Int64 // answers for attempts already given up
	Lists               atomic.Int64 // answers of discovery
	ListFails           atomic.Int64

	HookAsks    atomic.Int64 // points at which hooks were asked
	HookLate    atomic.Int64 // of these, not answered in time
	HookShort   atomic.Int64 // points at which no time was left to ask
	HookRefused atomic.Int64 // queries refused or failed on a hook's word, or for want of it
	HookDrops   atomic.Int64 // parts that hooks dropped

	Moved    atomic.Int64 // attempts turned away by servers that do not hold them now
	Unrouted atomic.Int64 // queries that the map of segments could not route

	Level        atomic.Int64 // the level of service in force; 0 is full
	LevelChanges atomic.Int64
	LevelRefused atomic.Int64 // queries that a level turned away
	LevelShort   atomic.Int64 // queries that were asked for in part

	// Extra are the figures of a subsystem that is on; nil: none. It is set before Run.
	Extra func(put func(name string, v int64))
}

var endings = [5]string{"answered", "refused", "failed", "expired", "gone"}

var verdicts = [8]string{"served", "server_error", "turned_away", "no_answer", "no_connection",
	"connection_lost", "called_off", "not_sent"}

// String gives every counter as key=value.
func (c *Counters) String() string {
	var b strings.Builder
	put := func(name string, v *atomic.Int64) { fmt.Fprintf(&b, "%s=%d ", name, v.Load()) }
	put("taken", &c.Taken)
	put("repeated", &c.Repeated)
	put("full", &c.Full)
	put("overdue", &c.Overdue)
	for i := range c.Finals {
		put(endings[i], &c.Finals[i])
	}
	put("partial", &c.Partial)
	put("sent", &c.Sent)
	put("unsent", &c.Unsent)
	for i := range c.Outcomes {
		put(verdicts[i], &c.Outcomes[i])
	}
	put("probes", &c.Probes)
	put("clients", &c.ClientConns)
	put("accepted", &c.ClientConnsAccepted)
	put("malformed", &c.MalformedRequests)
	put("leaves", &c.ServerConns)
	put("dials", &c.Dials)
	put("dial_fails", &c.DialFails)
	put("resets", &c.Resets)
	put("spoilt", &c.MalformedAnswers)
	put("silent", &c.Unresponsive)
	put("late", &c.LateAnswers)
	put("lists", &c.Lists)
	put("list_fails", &c.ListFails)
	put("hook_asks", &c.HookAsks)
	put("hook_late", &c.HookLate)
	put("hook_short", &c.HookShort)
	put("hook_refused", &c.HookRefused)
	put("hook_drops", &c.HookDrops)
	put("moved", &c.Moved)
	put("unrouted", &c.Unrouted)
	put("level", &c.Level)
	put("level_changes", &c.LevelChanges)
	put("level_refused", &c.LevelRefused)
	put("level_short", &c.LevelShort)
	if c.Extra != nil {
		c.Extra(func(name string, v int64) { fmt.Fprintf(&b, "%s=%d ", name, v) })
	}
	return strings.TrimSpace(b.String())
}
