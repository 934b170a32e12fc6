package exchange

// This file defines the counters that on-call staff read. No decision may depend on
// them.

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// Counters counts queries, attempts and connections since the start of the proxy, except
// ClientConns, ServerConns and Level, which are current values. String prints some of
// them under names that differ from the fields.
type Counters struct {
	Received         atomic.Int64    // queries received
	Duplicate        atomic.Int64    // queries received that failed because the id was already in use
	OverCapacity     atomic.Int64    // queries received that were refused because the limit on queries and parts in flight was reached
	DeadlineEnforced atomic.Int64    // queries that the exchange ended at the deadline because the router had not
	Finals           [5]atomic.Int64 // final answers, by Ending; endings has the names in the same order
	Partial          atomic.Int64    // answers not marked complete
	Sent             atomic.Int64    // attempts handed to the upstream side
	Unsent           atomic.Int64    // attempts that send did not hand over; those not sent because of hooks or a cancellation are counted only in Outcomes
	Outcomes         [8]atomic.Int64 // attempts that ended, by choice.Verdict; verdicts has the names in the same order
	Probes           atomic.Int64

	ClientConns         atomic.Int64 // client connections open
	ClientConnsAccepted atomic.Int64 // client connections accepted
	MalformedRequests   atomic.Int64 // requests that the framing answered with 4xx or 5xx
	ServerConns         atomic.Int64 // connections to leaf servers open
	Dials               atomic.Int64 // connections to leaf servers attempted
	DialFails           atomic.Int64
	Resets              atomic.Int64 // connections to leaf servers that ended with parts in flight
	MalformedAnswers    atomic.Int64 // connections to leaf servers, idle or with parts in flight, that were closed because of an unusable answer
	Unresponsive        atomic.Int64 // connections to leaf servers that became unresponsive
	LateAnswers         atomic.Int64 // answers for attempts already cancelled
	Lists               atomic.Int64 // answers of the discovery service
	ListFails           atomic.Int64

	HookCalls    atomic.Int64 // points at which hooks were called
	HookTimeouts atomic.Int64 // points at which the hooks that were called returned no result in time
	HookNoTime   atomic.Int64 // points at which no time was left to call hooks
	HookRefused  atomic.Int64 // queries refused or failed because of a hook's result or the lack of one
	HookDrops    atomic.Int64 // parts that hooks dropped

	Moved    atomic.Int64 // attempts rejected by servers that do not have the segment at that moment
	Unrouted atomic.Int64 // queries that the map of segments could not route

	Level        atomic.Int64 // the level of service in force; 0 is full
	LevelChanges atomic.Int64
	LevelRefused atomic.Int64 // queries that a level refused
	LevelReduced atomic.Int64 // queries for which a level lowered the share to settle for

	// Extra adds the counters of a further subsystem; nil: there is none. It must be
	// set before Run.
	Extra func(put func(name string, v int64))
}

var endings = [5]string{"answered", "refused", "failed", "expired", "gone"}

var verdicts = [8]string{"served", "server_error", "turned_away", "no_answer", "no_connection",
	"connection_lost", "called_off", "not_sent"}

// String returns all counters as key=value pairs, separated by spaces. The keys stay as
// they are because operators' tools read them. These differ from the field names:
// taken (Received), repeated (Duplicate), full (OverCapacity), overdue (DeadlineEnforced),
// gone (Finals[ClientGone]), turned_away (Outcomes[choice.Rejected]),
// called_off (Outcomes[choice.Cancelled]), clients (ClientConns), malformed
// (MalformedRequests), leaves (ServerConns), spoilt (MalformedAnswers), silent
// (Unresponsive), hook_asks (HookCalls), hook_late (HookTimeouts), hook_short
// (HookNoTime) and level_short (LevelReduced).
func (c *Counters) String() string {
	var b strings.Builder
	put := func(name string, v *atomic.Int64) { fmt.Fprintf(&b, "%s=%d ", name, v.Load()) }
	put("taken", &c.Received)
	put("repeated", &c.Duplicate)
	put("full", &c.OverCapacity)
	put("overdue", &c.DeadlineEnforced)
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
	put("hook_asks", &c.HookCalls)
	put("hook_late", &c.HookTimeouts)
	put("hook_short", &c.HookNoTime)
	put("hook_refused", &c.HookRefused)
	put("hook_drops", &c.HookDrops)
	put("moved", &c.Moved)
	put("unrouted", &c.Unrouted)
	put("level", &c.Level)
	put("level_changes", &c.LevelChanges)
	put("level_refused", &c.LevelRefused)
	put("level_short", &c.LevelReduced)
	if c.Extra != nil {
		c.Extra(func(name string, v int64) { fmt.Fprintf(&b, "%s=%d ", name, v) })
	}
	return strings.TrimSpace(b.String())
}
