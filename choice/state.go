package choice

// The state of a Router, its timers, and the helpers of the policy files. Constants that tune decisions are
// not here but in the policy files.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

type server struct {
	Server
	window              float64
	reserved            int     // attempts planned or in flight
	inFlight            int     // attempts in flight
	lastActiveAt        Micros  // last answer of any sort, or last new connection; 0: none
	lastShrinkAt        Micros  // attempts sent before it don't shrink the window again
	faultLevel          int     // suspicion for all classes; see recordFault
	faultClass          *class  // the only class whose parts raised faultLevel, or nil
	classFaultLevels    []int   // by class.classIndex: faults of one class while others are served
	latencyRatio        float64 // of its latencies to the class's median, smoothed
	nextTrialAt         Micros  // while it is a suspect: from when a trial (startTrial) is due
	reopensAt           Micros  // for a window below one: when it may be sent a part again
	timesSkipped        int     // selections since the last trial that skipped it as a suspect
	lastServedAt        Micros
	lastServedByClass   []Micros // by class.classIndex
	slowStartFrom       Micros   // start of its slow start; 0: not in slow start
	groups              []*group // groups[0] is its zone, groups[1] its kind
	servedInSpan        float64  // parts served since Router.spanStartedAt
	slowStartTokens     float64  // in slow start: parts it may be sent
	slowStartRefilledAt Micros
	lastResortUntil     Micros // while it drains: until then it may be selected as a last resort
	lastPlan            int    // number of the last plan with a call to it
}

// group is the servers with the same label, or the connections of one sort.
type group struct {
	label       string
	faultShare  float64 // share of recent parts that failed or were late
	nextTrialAt Micros  // from when its servers get a trial; for idleConns, see chooseConnection
}

type class struct {
	Class
	classIndex            int     // index into server.classFaultLevels and server.lastServedByClass
	median, upperQuantile float64 // estimated quantiles of latency, in microseconds
	meanPrediction        float64 // mean of Part.Predicted, smoothed
	latencySamples        float64 // number of latencies
	firstTryTimeout       Micros  // smoothed minimum for a first try: it falls at once and rises slowly
	canaryUntil           Micros  // until then its queries send one part first; see queryOfDeath
}

type query struct {
	id                string
	class             *class
	tenant            string
	number            int64
	stepStartedAt     Micros // when the current step started
	targetAt          Micros // end of its latency target, less Settings.Resolution
	endsAt            Micros // when it expires: the client's timeout; targetAt without LateValue
	partialAt         Micros // from when a partial answer is considered
	parts             []*part
	expectedParts     int     // from Query.Parts
	partStorage       []part  // backing array of its parts
	requiredWeight    float64 // served weight that completes the current step
	reducedWeight     float64 // what requiredWeight may be reduced to without capacity for more
	servedWeight      float64
	step              int
	logRatioSum       float64 // sum of log(latency / class median) over its served parts
	ratioCount        float64 // number of these parts
	firstStepComplete bool    // the first step's answer was complete
	ended             bool
	onTime            bool // its last answer met the latency target
	admitted          bool
	canary            bool // one part is sent first, the others once it is served
	overQuota         bool // over its tenant's quota
	lostConnections   int  // attempts that lost connections to servers not suspected; canary: plus 1
	nextScheduleAt    Micros
}

type part struct {
	id              string
	query           *query
	shard           int
	weight          float64
	predictionRatio float64 // Part.Predicted over the class's mean
	served          bool
	attempts        []*attempt
	firstAttempt    attempt     // storage of the first attempt, which is the only one of most parts
	attemptStorage  [1]*attempt // backing array of attempts in that case
}

type attempt struct {
	part         *part
	server       *server
	index        int
	sentAt       Micros
	overdue      bool
	shortTimeout bool // its timeout leaves time for another attempt
	earlyOverdue bool // overdue early because the query has little time: its server is not late
	ended        bool
	mayHaveRun   bool // it may have been executed
	cancelled    bool
	faultGroups  []*group // groups in which its fault is recorded
	connGroup    *group   // idleConns or renewedConns; nil if its connection was in use
}

// quotaBucket is the token bucket of a tenant. Its rate is in queries per second.
type quotaBucket struct {
	rate, tokens float64
	refilledAt   Micros
}

// timer is a task to run at a time.
type timer struct {
	at   Micros
	seq  int
	task task
}

// task is what a timer runs. Each type is a query or an attempt under another name, because a closure for
// every part would cost more than what most tasks do.
type task interface{ fire(*Router) }

type (
	expireTask   query
	partialTask  query
	scheduleTask query
	overdueTask  attempt
	funcTask     func()
)

func (q *expireTask) fire(r *Router)   { r.expire((*query)(q)) }
func (q *partialTask) fire(r *Router)  { r.answerPartially((*query)(q)) }
func (q *scheduleTask) fire(r *Router) { r.scheduleMore((*query)(q)) }
func (a *overdueTask) fire(r *Router)  { r.handleOverdue((*attempt)(a)) }
func (f funcTask) fire(*Router)        { f() }

// timers is a binary heap ordered by time, and for equal times by the order in which timers were set. It does
// what container/heap does, without boxing a value for each push and pop.
type timers []timer

func (t timer) before(other timer) bool {
	return t.at < other.at || t.at == other.at && t.seq < other.seq
}

func (t *timers) push(added timer) {
	*t = append(*t, added)
	heap := *t
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if heap[parent].at <= added.at { // of equal times the added timer is the later one
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = added
}

func (t *timers) pop() timer {
	heap := *t
	first, last := heap[0], len(heap)-1
	moved := heap[last]
	heap[last] = timer{}
	heap = heap[:last]
	*t = heap
	if last == 0 {
		return first
	}
	i := 0
	for child := 1; child < last; child = 2*i + 1 {
		if child+1 < last && heap[child+1].before(heap[child]) {
			child++
		}
		if !heap[child].before(moved) {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	heap[i] = moved
	return first
}

// Router makes the decisions of one router of the tier. It is not safe for concurrent use.
type Router struct {
	settings        Settings
	rng             *rand.Rand
	now             Micros
	actions         []Action
	classes         map[string]*class
	servers         map[string]*server
	cells           [][]*server
	zones           []*group
	kinds           []*group
	idleConns       group // sends on connections that were idle
	renewedConns    group // sends on new connections that replaced idle ones
	queries         map[string]*query
	queriesByNumber map[int64]*query
	parts           map[string]*part
	newQueries      []*query
	ordered         []*part // buffer of orderParts: the parts in order of their cells
	rotated         []*part // buffer of orderParts: its result
	callParts       []*part // buffer of fillCall: the call that it returned last
	planNumber      int     // of the current plan; see server.lastPlan

	quotas      map[string]*quotaBucket
	timers      timers
	seq         int
	wakeAt      Micros // time of the requested Elapsed; math.MaxInt64: none is requested
	wakeDelay   Micros // how much later than the requested Elapsed this step runs; 0: it is not late
	started     bool
	listRetryAt Micros
	listBackoff Micros

	sharedBudget     budgetLog   // of all parts; not used with RetryBudgetPerShard
	shardBudgets     []budgetLog // with RetryBudgetPerShard: by shard modulo Cells
	freeClassIndexes []int       // indexes of removed classes
	classIndexCount  int         // indexes assigned so far
	meanQuerySize    float64     // mean number of parts of a query, smoothed
	missedShare      float64     // share of recently admitted queries that missed their latency target
	readyServers     int
	spanStartedAt    Micros  // start of the span in which updateObservedRate counts served parts
	observedRate     float64 // parts per second that one server of scale 1 was seen to serve
}

// budgetLog has the times from which the rest of a budget of extra attempts is computed.
type budgetLog struct {
	arrivals      []Micros // of queries and parts
	extraAttempts []Micros // retries and hedges
}

// newEmptyRouter returns a router without classes, tenants or servers.
func newEmptyRouter(seed uint64, settings Settings) *Router {
	settings.OverdueMultiple, settings.OverdueMaxShare =
		cmp.Or(settings.OverdueMultiple, defaultOverdueMultiple),
		cmp.Or(settings.OverdueMaxShare, defaultOverdueMaxShare)
	return &Router{
		settings:        settings,
		rng:             rand.New(rand.NewPCG(seed, 0)),
		classes:         make(map[string]*class),
		servers:         make(map[string]*server),
		cells:           make([][]*server, settings.Cells),
		queries:         make(map[string]*query),
		queriesByNumber: make(map[int64]*query),
		parts:           make(map[string]*part),
		quotas:          make(map[string]*quotaBucket),
	}
}

// replaceClasses replaces all classes. A class whose name is kept keeps what was learned of it; the index of
// a removed class is reused. Queries of a removed class continue.
func (r *Router) replaceClasses(list []Class) {
	removed := r.classes
	r.classes = make(map[string]*class, len(list))
	for _, c := range list {
		if old := removed[c.Name]; old != nil {
			old.Class = c
			r.classes[c.Name] = old
			delete(removed, c.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(removed)) {
		r.freeClassIndexes = append(r.freeClassIndexes, removed[name].classIndex)
	}
	for _, c := range list {
		if r.classes[c.Name] == nil {
			r.classes[c.Name] = r.newClass(c)
		}
	}
	r.settings.Classes = list
}

// assignClassIndex returns the index for a new class, a free one if there is any.
func (r *Router) assignClassIndex() int {
	index := r.classIndexCount
	if last := len(r.freeClassIndexes) - 1; last >= 0 {
		index, r.freeClassIndexes = r.freeClassIndexes[last], r.freeClassIndexes[:last]
	} else {
		r.classIndexCount++
	}
	for _, s := range r.servers {
		for len(s.classFaultLevels) <= index {
			s.classFaultLevels, s.lastServedByClass =
				append(s.classFaultLevels, 0), append(s.lastServedByClass, 0)
		}
		s.classFaultLevels[index], s.lastServedByClass[index] = 0, 0
	}
	return index
}

// budgetLogOf returns the log for the parts of a shard. All shards share one log; with RetryBudgetPerShard,
// the shards that are equal modulo Cells share one.
func (r *Router) budgetLogOf(shard int) *budgetLog {
	if !r.settings.RetryBudgetPerShard {
		return &r.sharedBudget
	}
	index := shard % r.settings.Cells
	for len(r.shardBudgets) <= index {
		r.shardBudgets = append(r.shardBudgets, budgetLog{})
	}
	return &r.shardBudgets[index]
}

// validate returns an error that names the first setting found to be out of range.
func validate(settings Settings) error {
	switch {
	case len(settings.Classes) == 0 && !settings.ClassesLater:
		return fmt.Errorf("setting Classes: none is set")
	case settings.Cells < 1:
		return fmt.Errorf("setting Cells: %d is less than 1", settings.Cells)
	case settings.Width < 1 || settings.Width > settings.Cells:
		return fmt.Errorf("setting Width: %d is not within 1 to Cells (%d)", settings.Width, settings.Cells)
	case settings.AttemptCap < 1:
		return fmt.Errorf("setting AttemptCap: %d is less than 1", settings.AttemptCap)
	case settings.OverdueMultiple < 0 || settings.OverdueMaxShare < 0 || settings.OverdueMaxShare > 1:
		return fmt.Errorf("settings OverdueMultiple, OverdueMaxShare: %v, %v out of range",
			settings.OverdueMultiple, settings.OverdueMaxShare)
	case settings.RetryBudget && settings.RetryBudgetWindow < 1:
		return fmt.Errorf("setting RetryBudgetWindow: %d is less than 1", settings.RetryBudgetWindow)
	case settings.AskDiscovery && settings.AskWithin < 1:
		return fmt.Errorf("setting AskWithin: %d is less than 1", settings.AskWithin)
	}
	for _, c := range settings.Classes {
		switch {
		case c.LatencyTarget < 1 || c.Deadline < c.LatencyTarget:
			return fmt.Errorf("setting Classes: %s: LatencyTarget %d is not within 1 to Deadline (%d)",
				c.Name, c.LatencyTarget, c.Deadline)
		case c.RequiredShare <= 0 || c.RequiredShare > 1:
			return fmt.Errorf("setting Classes: %s: RequiredShare %v is not within 0 to 1",
				c.Name, c.RequiredShare)
		case c.MinShare < 0 || c.MinShare > c.RequiredShare:
			return fmt.Errorf("setting Classes: %s: MinShare %v is not within 0 to RequiredShare (%v)",
				c.Name, c.MinShare, c.RequiredShare)
		}
	}
	return nil
}

// handle dispatches one event.
func (r *Router) handle(event Event) {
	switch event := event.(type) {
	case List:
		r.applyList(event)
	case Query:
		r.addQuery(event)
	case Part:
		r.addPart(event)
	case Outcome:
		r.handleOutcome(event)
	case Classes:
		r.replaceClasses(event.List)
	case Tier:
		r.settings.Routers, r.settings.RetryBudgetMin = event.Routers, event.RetryBudgetMin
	case ClientLeft:
		if q := r.queries[event.ID]; q != nil {
			r.endQuery(q)
		}
	}
}

func (r *Router) addAction(a Action) { r.actions = append(r.actions, a) }

// endQuery removes a query and cancels its attempts in flight.
func (r *Router) endQuery(q *query) {
	q.ended = true
	if q.admitted {
		miss := 1.0
		if q.onTime {
			miss = 0
		}
		r.missedShare += (miss - r.missedShare) * missSmoothing
	}
	r.releaseParts(q)
	delete(r.queries, q.id)
	delete(r.queriesByNumber, q.number)
}

// releaseParts cancels the attempts of a query's parts and removes the parts, except that a part with an
// attempt in flight is kept until the outcome of that attempt. Each part is marked as served, also one that
// was not, so that nothing more is sent for it.
func (r *Router) releaseParts(q *query) {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			r.cancelAttempt(a)
		}
		p.served = true
		r.forgetPart(p)
	}
}

// forgetPart removes a part, unless one of its attempts is still in flight.
func (r *Router) forgetPart(p *part) {
	if inFlight, _ := p.countInFlight(); inFlight == 0 {
		delete(r.parts, p.id)
	}
}

// trackQuantile returns an estimate of the quantile of the given rank (0 to 1), updated with one sample.
func trackQuantile(estimate, sample, rank, step float64) float64 {
	if sample > estimate {
		return estimate * (1 + step*rank)
	}
	return estimate * (1 - step*(1-rank))
}

// triedOn reports whether an attempt of p at s is in flight or may have run.
func (p *part) triedOn(s *server) bool {
	for _, a := range p.attempts {
		if a.server == s && (!a.ended || a.mayHaveRun) {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether any part of q may have been executed.
func (q *query) mayHaveRun() bool {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if a.mayHaveRun {
				return true
			}
		}
	}
	return false
}

// addServer adds a new server. Cells are sorted by ID, so that selections don't depend on the order of the
// list.
func (r *Router) addServer(row Server) *server {
	classes := r.classIndexCount
	s := &server{Server: row, latencyRatio: 1,
		classFaultLevels: make([]int, classes), lastServedByClass: make([]Micros, classes)}
	s.groups = []*group{groupFor(&r.zones, row.Zone), groupFor(&r.kinds, row.Kind)}
	s.State = Gone
	r.setState(s, row.State)
	r.servers[row.ID] = s
	cell := r.cells[row.Cell]
	at, _ := slices.BinarySearchFunc(cell, s, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.cells[row.Cell] = slices.Insert(cell, at, s)
	return s
}

// markAbsent marks the servers as gone that a complete list does not contain.
func (r *Router) markAbsent(listed map[string]bool) {
	for _, cell := range r.cells {
		for _, s := range cell {
			if !listed[s.ID] {
				r.setState(s, Gone)
			}
		}
	}
}

// setState sets a server's state and counts the ready servers. A server that stays gone for
// SlowStart is dropped with what was learned of it.
func (r *Router) setState(s *server, state State) {
	if s.State == Ready {
		r.readyServers--
	}
	if state == Ready {
		r.readyServers++
	}
	if state == Gone && s.State != Gone {
		r.runAfter(r.settings.SlowStart, func() { r.dropServer(s) })
	}
	if s.State = state; state != Draining {
		s.lastResortUntil = 0
	}
}

// dropServer removes a server if it is still gone. While it has attempts in flight, it is checked again
// later.
func (r *Router) dropServer(s *server) {
	if s.State != Gone || r.servers[s.ID] != s {
		return
	}
	if s.reserved > 0 {
		r.runAfter(r.settings.SlowStart, func() { r.dropServer(s) })
		return
	}
	delete(r.servers, s.ID)
	cell := r.cells[s.Cell]
	r.cells[s.Cell] = slices.DeleteFunc(cell, func(other *server) bool { return other == s })
	r.zones = r.dropUnusedGroup(r.zones, s.groups[0])
	r.kinds = r.dropUnusedGroup(r.kinds, s.groups[1])
}

// dropUnusedGroup returns the groups without g if no server is in g any more.
func (r *Router) dropUnusedGroup(groups []*group, g *group) []*group {
	for _, s := range r.servers {
		if slices.Contains(s.groups, g) {
			return groups
		}
	}
	return slices.DeleteFunc(groups, func(other *group) bool { return other == g })
}

// unplan undoes a plan that was not sent. It spares the leading parts of q as long as these have at most keep
// attempts in total.
func (q *query) unplan(keep int) {
	for _, p := range q.parts {
		if keep -= len(p.attempts); keep >= 0 {
			continue
		}
		for _, a := range p.attempts {
			a.server.reserved--
			a.server.slowStartTokens++
		}
		p.attempts = nil
	}
}

// newPart stores a part. The number of parts that Query.Parts announced is stored in one array.
func (q *query) newPart(p part) *part {
	if q.partStorage == nil {
		size := min(max(q.expectedParts, 1), maxPartStorage)
		q.partStorage, q.parts = make([]part, 0, size), make([]*part, 0, size)
	}
	if len(q.partStorage) == cap(q.partStorage) { // more parts than announced
		extra := p
		return &extra
	}
	q.partStorage = append(q.partStorage, p)
	return &q.partStorage[len(q.partStorage)-1]
}

// maxPartStorage bounds the memory that is allocated for an announced number of parts.
const maxPartStorage = 4096

// newAttempt adds an attempt to a part.
func (p *part) newAttempt(a attempt) {
	if len(p.attempts) > 0 {
		another := a
		p.attempts = append(p.attempts, &another)
		return
	}
	p.firstAttempt = a
	p.attemptStorage[0] = &p.firstAttempt
	p.attempts = p.attemptStorage[:]
}

// splitCandidates returns the seven empty lists of selectReplica, each with capacity for the replicas of most
// shards.
func splitCandidates(buffers *[7][6]*server) (a, b, c, d, e, f, g []*server) {
	return buffers[0][:0], buffers[1][:0], buffers[2][:0], buffers[3][:0], buffers[4][:0], buffers[5][:0],
		buffers[6][:0]
}

// orderParts returns parts in the order in which they are planned. If MaxPartsPerCall is at most 1, that
// order is random with shuffle, and the given one without. If a call may carry more parts, it is the order of
// the ring of cells, so that parts stored by the same server are adjacent: it starts after the widest gap
// between the first cells of two parts. The result is
// valid until the next call.
func (r *Router) orderParts(parts []*part, shuffle bool) []*part {
	r.ordered = append(r.ordered[:0], parts...)
	ordered := r.ordered
	if r.settings.MaxPartsPerCall <= 1 && shuffle {
		r.rng.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	}
	if r.settings.MaxPartsPerCall <= 1 || len(ordered) == 0 {
		return ordered
	}
	cells := r.settings.Cells
	slices.SortStableFunc(ordered, func(a, b *part) int { return cmp.Compare(a.shard%cells, b.shard%cells) })
	firstIndex, widest := 0, -1
	for i, p := range ordered {
		previous := ordered[(i+len(ordered)-1)%len(ordered)]
		if gap := (p.shard%cells - previous.shard%cells + cells) % cells; gap > widest {
			firstIndex, widest = i, gap
		}
	}
	r.rotated = append(append(r.rotated[:0], ordered[firstIndex:]...), ordered[:firstIndex]...)
	return r.rotated
}

// holdsShard reports whether a server stores the shard of a part.
func (r *Router) holdsShard(s *server, p *part) bool {
	return (s.Cell-p.shard%r.settings.Cells+r.settings.Cells)%r.settings.Cells < r.settings.Width
}

// fillCall takes from parts, the first of which goes to s in any case, those that may go there in the same
// call: up to capacity parts, as long as the weight taken is below wanted, so that the last part may exceed
// wanted. It returns the call, and the rest of the parts
// in their order, moved to the front of the slice.
func (r *Router) fillCall(s *server, parts []*part, capacity int, wanted float64) (call, rest []*part) {
	call, rest = r.callParts[:0], parts[:0]
	weight := 0.0
	for i, p := range parts {
		if i > 0 && (len(call) >= capacity || weight >= wanted-weightTolerance ||
			!r.holdsShard(s, p) || p.triedOn(s)) {
			rest = append(rest, p)
			continue
		}
		call = append(call, p)
		weight += p.weight
	}
	r.callParts = call
	return call, rest
}

// countCalls returns the number of calls that the parts need in addition to one call to s with capacity
// parts, if every server of their shards accepts them.
func (r *Router) countCalls(parts []*part, s *server, capacity int) int {
	calls, firstCell, size, taken := 0, -1, 0, 0
	for i, p := range parts {
		if taken < capacity && (i == 0 || r.holdsShard(s, p) && !p.triedOn(s)) {
			taken++
			continue
		}
		partCell := p.shard % r.settings.Cells
		if firstCell < 0 || size >= r.settings.MaxPartsPerCall ||
			(partCell-firstCell+r.settings.Cells)%r.settings.Cells >= r.settings.Width {
			calls, firstCell, size = calls+1, partCell, 0
		}
		size++
	}
	return calls
}

// minAnswerWeight returns the least weight that makes an answer, complete or partial.
func (q *query) minAnswerWeight() float64 {
	if q.class.MinShare < q.class.RequiredShare {
		return q.class.MinShare
	}
	return q.requiredWeight
}

// cancelAttempt cancels an attempt that is in flight, once, if Settings.Cancel permits it.
func (r *Router) cancelAttempt(a *attempt) {
	if !a.ended && !a.cancelled && r.settings.Cancel {
		a.cancelled = true
		r.addAction(Cancel{ID: a.part.id, Attempt: a.index})
	}
}

// runAfter calls callback after the given delay.
func (r *Router) runAfter(delay Micros, callback func()) { r.setTimer(delay, funcTask(callback)) }

// setTimer runs a task after the given delay, which is at least 1.
func (r *Router) setTimer(delay Micros, t task) {
	r.seq++
	r.timers.push(timer{r.now + max(delay, 1), r.seq, t})
}

// fireTimers runs the tasks that are due, in the order of their times.
func (r *Router) fireTimers() {
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		r.timers.pop().task.fire(r)
	}
}

// requestWake requests an Elapsed for the next timer, unless an Elapsed at or before that time is expected
// already.
func (r *Router) requestWake() {
	if r.wakeAt <= r.now {
		r.wakeAt = math.MaxInt64
	}
	if len(r.timers) > 0 && r.timers[0].at < r.wakeAt {
		r.wakeAt = r.timers[0].at
		r.addAction(Wake{Delay: r.wakeAt - r.now})
	}
}

// countInFlight counts the attempts of a part that are in flight, and those of them that are overdue.
func (p *part) countInFlight() (inFlight, overdue int) {
	for _, a := range p.attempts {
		if !a.ended {
			inFlight++
			if a.overdue {
				overdue++
			}
		}
	}
	return inFlight, overdue
}

// allInFlight reports whether the part has attempts in flight and match is true for all of them.
func (p *part) allInFlight(match func(*attempt) bool) (all bool) {
	for _, a := range p.attempts {
		if !a.ended && !match(a) {
			return false
		}
		all = all || !a.ended
	}
	return all
}

// groupFor returns the group with a label, which it adds if there is none.
func groupFor(groups *[]*group, label string) *group {
	for _, g := range *groups {
		if g.label == label {
			return g
		}
	}
	g := &group{label: label}
	*groups = append(*groups, g)
	return g
}

// dropBefore returns the times, which must be sorted, without those before from.
func dropBefore(times []Micros, from Micros) []Micros {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// recordArrival adds a query or part that arrived. Times that no budget counts any more are removed before
// the slice grows.
func (r *Router) recordArrival(log *budgetLog) {
	if len(log.arrivals) == cap(log.arrivals) {
		window := Micros(defaultBudgetWindow)
		if r.settings.RetryBudget {
			window = r.settings.RetryBudgetWindow
		}
		recent := dropBefore(log.arrivals, r.now-window+1)
		if len(recent) <= len(log.arrivals)/2 {
			log.arrivals = log.arrivals[:copy(log.arrivals, recent)]
		}
	}
	log.arrivals = append(log.arrivals, r.now)
}

// maxAttempts returns how many attempts a part of a class may have.
func (r *Router) maxAttempts(c *class) int {
	if c.Attempts > 0 {
		return min(c.Attempts, r.settings.AttemptCap)
	}
	return r.settings.AttemptCap
}

// addPart adds a part to its query. The parts of a second step are sent by scheduleMore.
func (r *Router) addPart(event Part) {
	r.recordArrival(r.budgetLogOf(event.Shard))
	q := r.queriesByNumber[event.Number]
	if q == nil || q.ended {
		return
	}
	p := q.newPart(part{id: event.ID, query: q, shard: event.Shard, weight: event.Weight, predictionRatio: 1})
	if c := q.class; event.Hinted && event.Predicted > 0 {
		predicted := float64(event.Predicted)
		c.meanPrediction = cmp.Or(c.meanPrediction, predicted)
		p.predictionRatio = min(max(predicted/c.meanPrediction, 1/maxPredictionRatio), maxPredictionRatio)
		c.meanPrediction += (predicted - c.meanPrediction) * quantileStep
	}
	q.parts = append(q.parts, p)
	r.parts[p.id] = p
	if q.step == 2 && len(q.parts) == 1 {
		r.setTimer(0, (*scheduleTask)(q))
	}
}
