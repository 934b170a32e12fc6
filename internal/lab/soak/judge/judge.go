package judge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The rules, by their names on the operators' page.
const (
	RuleConfig  = "CONFIG"
	RuleTwice   = "TWICE"
	RuleRefused = "REFUSED"
	RuleMixed   = "MIXED"
	RuleLost    = "LOST"
	RuleDrain   = "DRAIN"
	RuleUnasked = "UNASKED"
)

// Judge returns a finding for each broken rule, ordered by time.
func Judge(record Record, bounds Bounds) []Finding {
	j := newJudge(record, bounds)
	j.judgeVersions()
	j.judgeChanges()
	j.judgeReads()
	j.judgeRuns()
	j.judgeAnswers()
	j.judgeLosses()
	j.judgeLeaves()
	slices.SortStableFunc(j.findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return j.findings
}

type judge struct {
	Record
	bounds    Bounds
	findings  []Finding
	valid     []Change         // changes that may be in force, sorted by revision
	runs      map[string][]Run // by attempt
	byMachine map[string][]Disturbance
	core      []Disturbance
}

func newJudge(record Record, bounds Bounds) *judge {
	j := &judge{Record: record, bounds: bounds, runs: make(map[string][]Run), byMachine: make(map[string][]Disturbance)}
	for _, change := range record.Changes {
		if change.Routes != nil && !change.Refused {
			j.valid = append(j.valid, change)
		}
	}
	slices.SortStableFunc(j.valid, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, run := range record.Runs {
		j.runs[run.Attempt] = append(j.runs[run.Attempt], run)
	}
	for _, d := range record.Disturbances {
		if d.Harmless {
			continue
		}
		j.byMachine[d.Machine] = append(j.byMachine[d.Machine], d)
		if d.Core {
			j.core = append(j.core, d)
		}
	}
	slices.SortStableFunc(j.Requests, func(a, b Request) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	return j
}

func (j *judge) report(rule string, at time.Duration, process, request, format string, args ...any) {
	j.findings = append(j.findings, Finding{Rule: rule, At: at, Process: process, Request: request, What: fmt.Sprintf(format, args...)})
}

func disturbed(list []Disturbance, from, to time.Duration) bool {
	return slices.ContainsFunc(list, func(d Disturbance) bool { return d.From <= to && d.To >= from })
}

// inContact reports whether rules with a time bound apply to a machine at a time: neither the machine
// nor the control plane had a fault during the contact time before it.
func (j *judge) inContact(machine string, at time.Duration) bool {
	from := at - j.bounds.Contact
	return from >= 0 && !disturbed(j.byMachine[machine], from, at) && !disturbed(j.core, from, at)
}

// newestAcknowledged returns the change with the highest revision that was acknowledged by a time.
func (j *judge) newestAcknowledged(by time.Duration) (newest Change, found bool) {
	for i := len(j.valid) - 1; i >= 0; i-- {
		if c := j.valid[i]; c.AckedAt > 0 && c.AckedAt <= by {
			return c, true
		}
	}
	return Change{}, false
}

// explains reports whether a request would have this outcome under a configuration.
func explains(c Change, r Request, served []Run) bool {
	route, exists := c.Routes[r.Prefix]
	if r.Status == 404 {
		return !exists
	}
	if !exists {
		return false
	}
	for _, run := range served {
		if !slices.Contains(route.Services, run.Service) {
			return false
		}
	}
	return true
}

// dependsOnVersion reports whether an outcome depends on the configuration in force.
func dependsOnVersion(r Request, served []Run) bool { return r.Status == 404 || len(served) > 0 }

// incarnation is one proxy between two of its starts.
type incarnation struct {
	proxy  string
	number int
}

// floor is the oldest configuration that a proxy can have in force from a time on, since a request
// showed that it had already applied it.
type floor struct {
	index int
	since time.Duration
}

// judgeVersions compares each request with the configurations that may have been in force.
func (j *judge) judgeVersions() {
	floors := make(map[incarnation][]floor)
	for _, r := range j.Requests {
		served := j.runs[r.Attempt]
		if !dependsOnVersion(r, served) {
			continue
		}
		newest := j.newestExplaining(r, served)
		if newest < 0 {
			j.report(RuleConfig, r.EndedAt, r.Proxy, r.Attempt, "%s: %s: no configuration that was sent by then and may be in force explains this", r.Prefix, outcome(r, served))
			continue
		}
		if expected, found := j.newestAcknowledged(r.SentAt - j.bounds.ConfigApply); found && j.valid[newest].Revision < expected.Revision && j.inContact(r.Proxy, r.SentAt) {
			j.report(RuleConfig, r.EndedAt, r.Proxy, r.Attempt, "%s: %s, which only revision %d or an older one explains; %d was acknowledged %v before the request was sent",
				r.Prefix, outcome(r, served), j.valid[newest].Revision, expected.Revision, (r.SentAt - expected.AckedAt).Round(time.Millisecond))
		}
		if r.Life > 0 {
			j.judgeOrder(floors, r, served, newest)
		}
	}
}

// judgeOrder compares a request with the configurations that its proxy was seen to have in force
// before. If it is consistent, it may raise the proxy's floor.
func (j *judge) judgeOrder(floors map[incarnation][]floor, r Request, served []Run, newest int) {
	key := incarnation{r.Proxy, r.Life}
	at := floorAt(floors[key], r.SentAt-j.bounds.DowngradeSlack)
	if newest < at && j.valid[newest].Revision < j.valid[at].Revision {
		j.report(RuleConfig, r.EndedAt, r.Proxy, r.Attempt, "%s: %s, which only revision %d or an older one explains, after %d was seen in force at this proxy",
			r.Prefix, outcome(r, served), j.valid[newest].Revision, j.valid[at].Revision)
		return
	}
	for i := at; i <= newest; i++ {
		if explains(j.valid[i], r, served) {
			if last := floorAt(floors[key], r.EndedAt); i > last {
				floors[key] = append(floors[key], floor{i, r.EndedAt})
			}
			return
		}
	}
}

// floorAt returns the highest floor that was known by a time. Floors are sorted by time and rise.
func floorAt(floors []floor, by time.Duration) int {
	for i := len(floors) - 1; i >= 0; i-- {
		if floors[i].since <= by {
			return floors[i].index
		}
	}
	return 0
}

// newestExplaining returns the newest configuration that explains an outcome, -1 if none does.
func (j *judge) newestExplaining(r Request, served []Run) int {
	for i := len(j.valid) - 1; i >= 0; i-- {
		if j.valid[i].SentAt <= r.EndedAt && explains(j.valid[i], r, served) {
			return i
		}
	}
	return -1
}

func outcome(r Request, served []Run) string {
	if r.Status == 404 {
		return "rejected with 404"
	}
	var services []string
	for _, run := range served {
		services = append(services, run.Service)
	}
	return "executed by " + strings.Join(slices.Compact(services), ", ")
}

// judgeChanges finds invalid configurations that were acknowledged, and acknowledged ones that were
// refused when they were sent again.
func (j *judge) judgeChanges() {
	for _, c := range j.Changes {
		if c.Routes == nil && c.AckedAt > 0 {
			j.report(RuleConfig, c.AckedAt, "operator", "", "revision %d is invalid but was acknowledged", c.Revision)
		}
		if c.RefusedAgain {
			j.report(RuleConfig, c.AckedAt, "operator", "", "revision %d was acknowledged, and refused when it was sent again without another change since", c.Revision)
		}
	}
}

// judgeReads compares the configurations that were read with those that were acknowledged.
func (j *judge) judgeReads() {
	lastRead := false
	for _, r := range j.Reads {
		if r.Status != 200 {
			continue
		}
		lastRead = lastRead || r.SentAt >= j.End
		if !r.SameContent {
			j.report(RuleConfig, r.EndedAt, r.Machine, "", "read revision %d with content that differs from every one sent under it that may be in force", r.Revision)
		}
		if expected, found := j.newestAcknowledged(r.SentAt - j.bounds.ConfigApply); found && r.Revision < expected.Revision {
			j.report(RuleConfig, r.EndedAt, r.Machine, "", "read revision %d; %d was acknowledged %v before", r.Revision, expected.Revision, (r.SentAt - expected.AckedAt).Round(time.Millisecond))
		}
	}
	if !lastRead && len(j.Changes) > 0 {
		j.report(RuleLost, j.End, "control plane", "", "the configuration could not be read at the end of the run")
	}
}

// judgeRuns finds requests that were executed twice, executed although they were rejected, or never
// sent by a client.
func (j *judge) judgeRuns() {
	sent := make(map[string]bool, len(j.Requests))
	for _, r := range j.Requests {
		if sent[r.Attempt] {
			panic("two requests are recorded with the attempt id " + r.Attempt) // the runs could not be assigned to their requests
		}
		sent[r.Attempt] = true
		runs := j.runs[r.Attempt]
		if !r.NonIdempotent {
			continue
		}
		if len(runs) > 1 {
			j.report(RuleTwice, runs[1].At, r.Proxy, r.Attempt, "%s was executed by %s and by %s", r.Prefix, runs[0].Server, runs[1].Server)
		}
		if refusal := r.Status == 429 || r.Status == 503 || r.Status == 408 || r.Status == 421; refusal && len(runs) > 0 {
			j.report(RuleRefused, r.EndedAt, r.Proxy, r.Attempt, "%s was rejected with %d but executed by %s", r.Prefix, r.Status, runs[0].Server)
		}
	}
	for _, run := range j.Runs {
		if !sent[run.Attempt] {
			j.report(RuleUnasked, run.At, run.Server, run.Attempt, "no client sent this attempt (%s)", run.Target)
		}
	}
}

// judgeLosses finds requests that were dropped during planned restarts and reloads, or without any
// fault.
func (j *judge) judgeLosses() {
	for _, r := range j.Requests {
		if r.Status != 0 || r.Abandoned {
			continue
		}
		runs := j.runs[r.Attempt]
		if slices.ContainsFunc(runs, func(run Run) bool { return run.BrokeOff }) {
			continue
		}
		ran := len(runs) > 0
		exceedsSlack := r.EndedAt-r.SentAt > j.bounds.LossSlack
		if !ran && !exceedsSlack || j.hadUnplannedFault(r.Proxy, r.SentAt-j.bounds.Contact, r.EndedAt) {
			continue
		}
		j.report(RuleLost, r.EndedAt, r.Proxy, r.Attempt, "%s: the connection ended without a response after %v; executed by a server: %v", r.Prefix, (r.EndedAt - r.SentAt).Round(time.Millisecond), ran)
	}
}

// hadUnplannedFault reports whether a machine or the control plane had a fault other than SIGTERM and
// SIGHUP during a span.
func (j *judge) hadUnplannedFault(machine string, from, to time.Duration) bool {
	for _, d := range j.Record.Disturbances {
		if (d.Machine == machine || d.Core) && !d.Planned && d.From <= to && d.To >= from {
			return true
		}
	}
	return false
}

// judgeLeaves finds requests that reached a server after the drain time that follows the
// acknowledgement of its leave.
func (j *judge) judgeLeaves() {
	acked := make(map[string]Leave)
	for _, l := range j.Leaves {
		acked[l.Server] = l
	}
	proxies := make(map[string]Request, len(j.Requests))
	for _, r := range j.Requests {
		proxies[r.Attempt] = r
	}
	for _, run := range j.Runs {
		leave, leaves := acked[run.Server]
		if !leaves || run.At-leave.AckedAt <= j.bounds.Drain {
			continue
		}
		if r := proxies[run.Attempt]; j.inContact(r.Proxy, run.At) {
			j.report(RuleDrain, run.At, r.Proxy, run.Attempt, "reached %s %v after %s acknowledged its leave", run.Server, (run.At - leave.AckedAt).Round(time.Millisecond), leave.Machine)
		}
	}
}

// CountInContact counts the requests to which the bound on the configuration's age applies.
func CountInContact(record Record, bounds Bounds) (n int) {
	j := newJudge(record, bounds)
	for _, r := range j.Requests {
		if dependsOnVersion(r, j.runs[r.Attempt]) && j.inContact(r.Proxy, r.SentAt) {
			n++
		}
	}
	return n
}
