package model

// This file models a leaf server: cores that work on parts in slots, a queue, and its faults.

import (
	"math"
	"time"
)

// Discipline is the order in which a server takes parts from its queue.
type Discipline string

// The queue disciplines.
const (
	FIFO     Discipline = "fifo"
	LIFO     Discipline = "lifo"
	Random   Discipline = "random"
	Shortest Discipline = "shortest" // least work first
	Fair     Discipline = "fair"     // round robin between the classes
)

// Spec is the configuration of a server.
type Spec struct {
	Name, Site, Group string
	Cell              int
	Cores             int
	Speed             float64 // work that a core does per second
	Slots             int     // parts in service at once; if there are more than Cores, they share the cores
	QueueLimit        int     // parts in the queue; further ones are rejected
	Queue             Discipline
	Knee              int     // number of pending parts above which efficiency falls; 0: never
	KneeLoss          float64 // with twice Knee parts pending it works 1/(1+KneeLoss) as fast, and so on linearly
	CancelsRunning    bool    // a part in service that is cancelled stops
	Handshake         time.Duration
	CallWork          time.Duration // work of a call in addition to its parts
	KeyCache          KeyCache
	SlowStart         SlowStart
	Seed              uint64
}

// KeyCache is a server's cache: a part whose key and shard were used recently is less work.
type KeyCache struct {
	Gain    float64       // share of the work that a hit saves; 0: there is no cache
	TTL     time.Duration // since the last use
	MaxKeys int           // capacity; the least recently used key is evicted first
}

// SlowStart is how a server warms up after a start.
type SlowStart struct {
	InitialShare     float64       // share of its capacity at the start
	WarmupTime       time.Duration // until it has warmed up, however little it does; 0: it starts warm
	WarmupParts      int           // or until it has finished so many parts; 0: by time alone
	OverloadMultiple float64       // it crashes if it is sent more than this multiple of its capacity; 0: never
	OverloadWindow   time.Duration // period over which the work sent is summed
	Downtime         time.Duration // until it restarts after such a crash, warming up again
}

// End is how a part ended at a server.
type End int

// The endings.
const (
	OK   End = iota
	Err      // the part may have run
	Busy     // the part was rejected and never ran
)

// Job is a part at a server. The exported fields are set by the sender.
type Job struct {
	ID, Request, Class string
	Shard              int
	Work               time.Duration // time on a core of speed 1
	FirstOfCall        bool          // first part of its call, which includes the call's own work
	Key                string        // cache key, including the shard; empty: none
	Deadline           time.Duration // when the sender stops waiting; 0: unknown
	Done               func(*Job, End)
	OnRun              func(*Job) // called when the part starts to run; may be nil
	Tag                any        // for the sender's use

	finish float64 // in service time
	seq    int64
	index  int // in the heap of running parts; below 0: not in it
	state  jobState
}

type jobState uint8

const (
	waiting jobState = iota + 1
	running
	hanging // will never be answered
	finished
)

// Effects are the current effects of faults on a server. Several can overlap.
type Effects struct {
	Dead   int     // number of faults that keep the process down
	Paused int     // number of active pauses
	Slow   float64 // product of the factors; 0 counts as 1
	Hang   map[string]float64
	Fail   map[string]float64 // Hang and Fail: affected share of the parts by class; "": all
	Busy   int
}

// Stats is what a server did since the last call of TakeStats.
type Stats struct {
	Received, Served, Failed, Busy int64
	Pending, Running               int // at present
	MaxPending                     int
	Work                           time.Duration // done, in core time at speed 1
	Up                             bool
	CapacityShare                  float64 // current share of its full capacity
}

// Server is one emulated leaf server.
type Server struct {
	Spec
	Effects Effects
	// OnOverload is called when a server crashes from overload while it warms up; OnDown when the
	// process has ended (its parts are lost) and OnUp when it runs again.
	OnOverload, OnDown, OnUp func(*Server)

	sched     Sched
	random    func() float64 // the server's own random source
	up        bool
	startedAt time.Duration // start of the process
	slowStart bool          // warming up
	partsDone int           // since the start

	countedAt    time.Duration // time up to which the service time was advanced
	service      float64       // seconds that each running part has had, at speed 1 and on a core of its own
	rate         float64       // of the service time, per second
	timer        Timer
	timerFinish  float64 // the service time that the timer is set for
	timerAt      time.Duration
	heap         []*Job
	queue        waitQueue
	queued       int // without cancelled parts
	hangingCount int
	unread       []*Job // parts that arrived during a pause
	seq          int64

	cachedKeys map[string]int64 // the sequence number of each key's last use
	keyUses    []keyUse         // all uses in order, including outdated ones

	sentInWindow []sentWork // to a server that warms up
	sentTotal    float64
	stats        Stats
}

// keyUse is one use of a cache key.
type keyUse struct {
	key string
	seq int64
	at  time.Duration
}

// sentWork is the work of one part that was sent during slow start.
type sentWork struct {
	at   time.Duration
	work float64
}

// NewServer returns a server that runs and has warmed up.
func NewServer(s Sched, spec Spec) *Server {
	r := Rand(spec.Seed, "server", spec.Name)
	v := &Server{Spec: spec, sched: s, random: r.Float64, up: true}
	v.queue.discipline = spec.Queue
	return v
}

// Running reports whether the process runs, and since when.
func (s *Server) Running() (bool, time.Duration) { return s.up, s.startedAt }

// Pending returns the number of unfinished parts.
func (s *Server) Pending() int { return len(s.heap) + s.queued + s.hangingCount + len(s.unread) }

// CapacityShare returns the share of its full capacity that the server has; it is below 1
// while the server warms up.
func (s *Server) CapacityShare() float64 {
	if !s.slowStart {
		return 1
	}
	age := s.sched.Now() - s.startedAt
	share := float64(age) / float64(s.SlowStart.WarmupTime)
	if s.SlowStart.WarmupParts > 0 {
		share = max(share, float64(s.partsDone)/float64(s.SlowStart.WarmupParts))
	}
	if share >= 1 {
		s.slowStart = false
		s.sentInWindow, s.sentTotal = nil, 0
		return 1
	}
	return s.SlowStart.InitialShare + (1-s.SlowStart.InitialShare)*share
}

// Capacity returns the work that the server can currently do per second, in seconds of a core
// of speed 1.
func (s *Server) Capacity() float64 {
	if !s.up || s.Effects.Paused > 0 {
		return 0
	}
	slow := s.Effects.Slow
	if slow <= 0 {
		slow = 1
	}
	return float64(s.Cores) * s.Speed * s.CapacityShare() / slow
}

// SlowStartHeadroom returns the work that can be sent now to a server that warms up before it
// crashes, in seconds of a core of speed 1 and without the allowance for chance. It is
// infinite for one that has warmed up.
func (s *Server) SlowStartHeadroom() float64 {
	if !s.slowStart || s.SlowStart.OverloadMultiple <= 0 || s.CapacityShare() >= 1 {
		return math.Inf(1)
	}
	headroom := s.SlowStart.OverloadMultiple * s.Capacity() * s.SlowStart.OverloadWindow.Seconds()
	for _, w := range s.sentInWindow {
		if w.at > s.sched.Now()-s.SlowStart.OverloadWindow {
			headroom -= w.work
		}
	}
	return headroom
}

// Backlog returns the remaining work of all parts, in seconds of a core of speed 1.
func (s *Server) Backlog() float64 {
	s.advance()
	sum := s.queue.work
	for _, j := range s.heap {
		sum += max(j.finish-s.service, 0)
	}
	return sum
}

// Unavailable reports whether a part of a class would fail on this server.
func (s *Server) Unavailable(class string) bool {
	return !s.up || s.Effects.Paused > 0 || s.Effects.Busy > 0 || shareFor(s.Effects.Hang, class) > 0 || shareFor(s.Effects.Fail, class) > 0
}

// shareFor returns the share of a class's parts that an effect hits.
func shareFor(m map[string]float64, class string) float64 {
	if len(m) == 0 {
		return 0
	}
	return max(m[""], m[class])
}

// Submit hands a part to the server. Its Done is called once, unless the part is cancelled or
// the process ends first.
func (s *Server) Submit(j *Job) {
	if !s.up {
		j.state = finished
		return
	}
	s.stats.Received++
	s.seq++
	j.seq, j.index = s.seq, -1
	if s.Effects.Paused > 0 { // a paused process does not read
		s.unread = append(s.unread, j)
		return
	}
	if s.overloads(j) {
		return // the server crashed, and this part is lost with the others
	}
	switch {
	case s.Effects.Busy > 0:
		s.end(j, Busy)
	case s.random() < shareFor(s.Effects.Fail, j.Class):
		if j.OnRun != nil {
			j.OnRun(j)
		}
		s.end(j, Err)
	case s.random() < shareFor(s.Effects.Hang, j.Class):
		j.state = hanging
		s.hangingCount++
		if j.OnRun != nil {
			j.OnRun(j)
		}
	case len(s.heap) < s.slots():
		s.queue.lastClass = j.Class
		s.start(j)
		s.updateRate()
	case s.queued >= s.QueueLimit:
		s.end(j, Busy)
	default:
		j.state = waiting
		s.queued++
		s.queue.push(j)
		if s.Knee > 0 { // with more parts pending the server may be slower
			s.updateRate() // with more parts pending the server may be slower
		}
	}
	s.stats.MaxPending = max(s.stats.MaxPending, s.Pending())
}

// slots returns the number of parts that can be in service.
func (s *Server) slots() int { return max(s.Slots, s.Cores) }

// overloads adds a part to the work sent during slow start and reports whether the server
// crashed from overload.
func (s *Server) overloads(j *Job) bool {
	if !s.slowStart || s.SlowStart.OverloadMultiple <= 0 || s.SlowStart.OverloadWindow <= 0 || s.CapacityShare() >= 1 {
		return false
	}
	now, work := s.sched.Now(), j.Work.Seconds()
	s.sentInWindow = append(s.sentInWindow, sentWork{now, work})
	s.sentTotal += work
	heaviest := 0.0
	for len(s.sentInWindow) > 0 && s.sentInWindow[0].at <= now-s.SlowStart.OverloadWindow {
		s.sentTotal -= s.sentInWindow[0].work
		s.sentInWindow = s.sentInWindow[1:]
	}
	for _, w := range s.sentInWindow {
		heaviest = max(heaviest, w.work)
	}
	// An allowance for chance: three times the heaviest part in the window.
	if s.sentTotal <= s.SlowStart.OverloadMultiple*s.Capacity()*s.SlowStart.OverloadWindow.Seconds()+3*heaviest {
		return false
	}
	if s.OnOverload != nil {
		s.OnOverload(s)
	}
	s.Die()
	s.sched.After(s.SlowStart.Downtime, func() { s.Start(true) })
	return true
}

// Handshake adds the work of a new connection.
func (s *Server) Handshake() {
	if s.up && s.Spec.Handshake > 0 {
		s.seq++
		s.start(&Job{Work: s.Spec.Handshake, seq: s.seq, index: -1})
		s.updateRate()
	}
}

// Cancel withdraws a part that its sender no longer waits for. A part in service continues
// unless CancelsRunning is set.
func (s *Server) Cancel(j *Job) {
	switch j.state {
	case waiting:
		s.queued--
		s.queue.work -= j.Work.Seconds()
		j.state = finished // pop drops it from the queue later
		if s.Knee > 0 {
			s.updateRate()
		}
	case running:
		if s.CancelsRunning {
			s.advance()
			s.removeFromHeap(j)
			j.state = finished
			s.startQueued()
			s.updateRate()
		} else {
			j.Done = nil
		}
	case hanging:
		s.hangingCount--
		j.state = finished
	case 0:
		j.state = finished
	}
}

// Die ends the process: all parts are lost.
func (s *Server) Die() {
	if !s.up {
		return
	}
	s.advance()
	s.up = false
	for _, j := range s.heap {
		j.state = finished
	}
	s.heap = nil
	s.queue.each(func(j *Job) { j.state = finished })
	s.queue = waitQueue{discipline: s.Queue}
	s.queued, s.hangingCount = 0, 0
	for _, j := range s.unread {
		j.state = finished
	}
	s.unread = nil
	s.sentInWindow, s.sentTotal = nil, 0
	s.cachedKeys, s.keyUses = nil, nil
	s.updateRate()
	if s.OnDown != nil {
		s.OnDown(s)
	}
}

// Start starts the process unless a fault keeps it down. If cold is set and slow start is
// configured, the server has to warm up.
func (s *Server) Start(cold bool) {
	if s.up || s.Effects.Dead > 0 {
		return
	}
	s.advance()
	s.up, s.startedAt, s.partsDone = true, s.sched.Now(), 0
	s.slowStart = cold && s.SlowStart.WarmupTime > 0
	if s.OnUp != nil {
		s.OnUp(s)
	}
}

// EffectsChanged must be called after a change of Effects.
func (s *Server) EffectsChanged() {
	s.updateRate()
	if s.Effects.Paused > 0 || len(s.unread) == 0 {
		return
	}
	inbox := s.unread
	s.unread = nil
	for _, j := range inbox {
		if j.state != finished {
			s.stats.Received--
			s.Submit(j)
		}
	}
}

// TakeStats returns what the server did since the last call.
func (s *Server) TakeStats() Stats {
	s.advance()
	st := s.stats
	st.Pending, st.Running, st.Up, st.CapacityShare = s.Pending(), len(s.heap), s.up, s.CapacityShare()
	st.MaxPending = max(st.MaxPending, st.Pending)
	s.stats = Stats{}
	return st
}

// ---- Work. All running parts progress at the same rate, so the order of completion is the
// order of remaining service: one heap by the service time at completion, and one timer for
// the first (processor sharing by virtual time, Zhang 1990).

// start starts to run a part.
func (s *Server) start(j *Job) {
	s.advance()
	j.state = running
	if s.useKey(j.Key) {
		j.Work -= time.Duration(s.KeyCache.Gain * float64(j.Work))
	}
	if j.FirstOfCall {
		j.Work += s.CallWork
	}
	j.finish = s.service + j.Work.Seconds()
	j.index = len(s.heap)
	s.heap = append(s.heap, j)
	s.siftUp(j.index)
	if j.OnRun != nil {
		j.OnRun(j)
	}
}

// useKey records a use of a key and reports whether the key was cached.
func (s *Server) useKey(key string) bool {
	if key == "" || s.KeyCache.Gain <= 0 {
		return false
	}
	now := s.sched.Now()
	evictOldest := func() {
		if m := s.keyUses[0]; s.cachedKeys[m.key] == m.seq { // otherwise it was used again later
			delete(s.cachedKeys, m.key)
		}
		s.keyUses = s.keyUses[1:]
	}
	for len(s.keyUses) > 0 && s.keyUses[0].at < now-s.KeyCache.TTL {
		evictOldest()
	}
	_, known := s.cachedKeys[key]
	for !known && len(s.cachedKeys) >= s.KeyCache.MaxKeys {
		evictOldest()
	}
	if s.cachedKeys == nil {
		s.cachedKeys = make(map[string]int64)
	}
	s.seq++
	s.cachedKeys[key] = s.seq
	s.keyUses = append(s.keyUses, keyUse{key, s.seq, now})
	return known
}

// advance advances the service time to the current time.
func (s *Server) advance() {
	now := s.sched.Now()
	if dt := now - s.countedAt; dt > 0 {
		got := s.rate * dt.Seconds()
		s.service += got
		s.stats.Work += time.Duration(got * float64(len(s.heap)) * float64(time.Second))
		s.countedAt = now
	}
}

// slowStartStep is how often the rate of a server that warms up is updated.
const slowStartStep = 100 * time.Millisecond

// updateRate updates the service rate and the timer for the next completion.
func (s *Server) updateRate() {
	s.advance()
	rate := 0.0
	if n := len(s.heap); n > 0 && s.up && s.Effects.Paused == 0 {
		rate = s.Speed * s.CapacityShare()
		if s.Effects.Slow > 0 {
			rate /= s.Effects.Slow
		}
		if n > s.Cores {
			rate *= float64(s.Cores) / float64(n)
		}
		if pending := s.Pending(); s.Knee > 0 && pending > s.Knee {
			rate /= 1 + s.KneeLoss*float64(pending-s.Knee)/float64(s.Knee)
		}
	}
	first := 0.0
	if len(s.heap) > 0 {
		first = s.heap[0].finish
	}
	if s.timer != nil && rate == s.rate && first == s.timerFinish && rate > 0 && s.timerAt > s.sched.Now() {
		return
	}
	s.rate = rate
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if rate <= 0 {
		return
	}
	wait := time.Duration((first-s.service)/rate*float64(time.Second)) + 1
	if wait = max(wait, 0); s.slowStart {
		wait = min(wait, slowStartStep)
	}
	s.timerFinish, s.timerAt = first, s.sched.Now()+wait
	s.timer = s.sched.After(wait, s.finishDue)
}

// finishDue finishes the parts that have received their service.
func (s *Server) finishDue() {
	s.timer = nil
	s.advance()
	for len(s.heap) > 0 && s.heap[0].finish <= s.service+1e-9 {
		j := s.heap[0]
		s.removeFromHeap(j)
		s.partsDone++
		s.startQueued()
		if j.ID != "" { // otherwise it is a handshake
			s.end(j, OK)
		}
	}
	s.updateRate()
}

// startQueued starts queued parts while slots are free.
func (s *Server) startQueued() {
	for s.up && len(s.heap) < s.slots() {
		j := s.queue.pop(s.random)
		if j == nil {
			return
		}
		s.queued--
		if j.Deadline > 0 && j.Deadline <= s.sched.Now() { // its sender no longer waits
			j.state = finished
			continue
		}
		s.start(j)
	}
}

// end ends a part and reports its result.
func (s *Server) end(j *Job, e End) {
	j.state = finished
	switch e {
	case OK:
		s.stats.Served++
	case Err:
		s.stats.Failed++
	case Busy:
		s.stats.Busy++
	}
	if j.Done != nil {
		j.Done(j, e)
	}
}

// less orders running parts by completion.
func (s *Server) less(a, b *Job) bool {
	return a.finish < b.finish || a.finish == b.finish && a.seq < b.seq
}

func (s *Server) siftUp(i int) {
	h := s.heap
	for i > 0 {
		p := (i - 1) / 2
		if !s.less(h[i], h[p]) {
			return
		}
		h[i], h[p] = h[p], h[i]
		h[i].index, h[p].index = i, p
		i = p
	}
}

func (s *Server) siftDown(i int) {
	h := s.heap
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && s.less(h[c+1], h[c]) {
			c++
		}
		if !s.less(h[c], h[i]) {
			return
		}
		h[i], h[c] = h[c], h[i]
		h[i].index, h[c].index = i, c
		i = c
	}
}

// removeFromHeap removes a running part.
func (s *Server) removeFromHeap(j *Job) {
	i, last := j.index, len(s.heap)-1
	s.heap[i] = s.heap[last]
	s.heap[i].index = i
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if i < last {
		s.siftDown(i)
		s.siftUp(i)
	}
	j.index = -1
}

// waitQueue holds the parts that wait for a slot. Cancelled parts stay in it until pop reaches
// them.
type waitQueue struct {
	discipline Discipline
	jobs       []*Job
	head       int
	work       float64 // of the waiting parts, in seconds
	lastClass  string  // fair: class of the part served last
}

func (q *waitQueue) push(j *Job) {
	q.jobs = append(q.jobs, j)
	q.work += j.Work.Seconds()
}

func (q *waitQueue) each(f func(*Job)) {
	for _, j := range q.jobs[q.head:] {
		f(j)
	}
}

// pop removes the next part; it returns nil if none waits.
func (q *waitQueue) pop(random func() float64) *Job {
	if q.head > 64 && q.head > len(q.jobs)/2 {
		q.jobs = append(q.jobs[:0], q.jobs[q.head:]...)
		q.head = 0
	}
	for q.head < len(q.jobs) {
		i := q.head
		switch q.discipline {
		case LIFO:
			i = len(q.jobs) - 1
		case Random:
			i += int(random() * float64(len(q.jobs)-q.head))
		case Shortest:
			for k := i + 1; k < len(q.jobs); k++ {
				if q.jobs[k].state == waiting && (q.jobs[i].state != waiting || q.jobs[k].Work < q.jobs[i].Work) {
					i = k
				}
			}
		case Fair:
			i = q.nextFair()
		}
		j := q.jobs[i]
		switch {
		case i == q.head:
			q.jobs[i] = nil
			q.head++
		default: // keep the order of the others
			copy(q.jobs[i:], q.jobs[i+1:])
			q.jobs[len(q.jobs)-1] = nil
			q.jobs = q.jobs[:len(q.jobs)-1]
		}
		if j.state == waiting {
			q.work = max(q.work-j.Work.Seconds(), 0)
			q.lastClass = j.Class
			return j
		}
	}
	q.jobs, q.head, q.work = q.jobs[:0], 0, 0
	return nil
}

// nextFair returns the index of the first part of the class whose turn it is: the next class
// by name, after the one served last, that has a part waiting.
func (q *waitQueue) nextFair() int {
	best, first := -1, -1
	for i := q.head; i < len(q.jobs); i++ {
		j := q.jobs[i]
		if j.state != waiting {
			continue
		}
		if j.Class > q.lastClass && (best < 0 || j.Class < q.jobs[best].Class) {
			best = i
		}
		if first < 0 || j.Class < q.jobs[first].Class {
			first = i
		}
	}
	switch {
	case best >= 0:
		return best
	case first >= 0:
		return first
	}
	return q.head
}
