package model

// A leaf server: cores that work on parts in slots, a waiting room, and the ways in
// which it goes wrong.

import (
	"math"
	"time"
)

// Discipline is how a server picks what waits.
type Discipline string

// The disciplines.
const (
	FIFO     Discipline = "fifo"
	LIFO     Discipline = "lifo"
	Random   Discipline = "random"
	Shortest Discipline = "shortest" // the least work first
	Fair     Discipline = "fair"     // the classes in turn
)

// Spec is what a server is.
type Spec struct {
	Name, Site, Group string
	Cell              int
	Cores             int
	Speed             float64 // work that a core does a second
	Slots             int     // parts in work at once; more than Cores share them
	QueueLimit        int     // parts that wait; beyond, they are turned away
	Queue             Discipline
	Knee              int     // parts held above which it becomes less efficient; 0: never
	KneeLoss          float64 // at twice the knee it works 1/(1+Loss) as fast, and so on
	CancelsRunning    bool    // a part in work that is given up stops
	Handshake         time.Duration
	CallWork          time.Duration // of a call, beside its parts'
	KeyCache          KeyCache
	SlowStart         SlowStart
	Seed              uint64
}

// Keys is how a server remembers: a part whose key and shard it met lately is less work.
type KeyCache struct {
	Gain    float64       // so much less; 0: it remembers nothing
	TTL     time.Duration // for so long
	MaxKeys int           // and so many; the one met longest ago goes first
}

// Cold is how a server starts.
type SlowStart struct {
	InitialShare     float64       // of its capacity, at the start
	WarmupTime       time.Duration // until it is warm, however little it does; 0: it starts warm
	WarmupParts      int           // or until it has done so many parts; 0: time alone
	OverloadMultiple float64       // sent more than this multiple of its capacity; 0: it bears all
	OverloadWindow   time.Duration // over so long, it falls
	Downtime         time.Duration // and is back, cold, after this
}

// End is how a part ended at a server.
type End int

// The ends.
const (
	OK   End = iota
	Err      // it may have run
	Busy     // it never ran
)

// Job is a part at a server. The first fields are its sender's.
type Job struct {
	ID, Request, Class string
	Shard              int
	Work               time.Duration // of a core of speed 1
	FirstOfCall        bool          // the first of its call: it bears what that costs
	Key                string        // with its shard; empty: none
	Deadline           time.Duration // when its sender stops waiting; 0: unknown
	Done               func(*Job, End)
	OnRun              func(*Job) // it is run from now on; may be nil
	Tag                any        // the sender's

	finish float64 // in service time
	seq    int64
	index  int // in the running heap; below 0: not in it
	state  jobState
}

type jobState uint8

const (
	waiting jobState = iota + 1
	running
	held // hangs
	over
)

// Effects are what faults do to a server at the moment. Several may hold at once.
type Effects struct {
	Dead   int     // so many faults keep the process down
	Paused int     // so many pauses hold
	Slow   float64 // product of the factors; 0 counts as 1
	Hang   map[string]float64
	Fail   map[string]float64 // by class, "" is all: the share of parts
	Busy   int
}

// Stats is what a server did since the last look.
type Stats struct {
	Received, Served, Failed, Busy int64
	Pending, Running               int // now
	MaxPending                     int
	Work                           time.Duration // done, in core time of speed 1
	Up                             bool
	CapacityShare                  float64 // of its capacity that it has
}

// Server is one emulated leaf server.
type Server struct {
	Spec
	Effects Effects
	// Fell is told that a cold server was pushed over; Down that its process has
	// ended (what was out there is lost) and Up that it runs again.
	OnOverload, OnDown, OnUp func(*Server)

	sched Sched
	r     func() float64 // luck of its own
	up    bool
	since time.Duration // of its start
	cold  bool
	done  int // parts since the start

	at       time.Duration // to which the service time has been counted
	service  float64       // seconds that each running part has had, as if alone on a core of speed 1
	rate     float64       // of the service time
	alarm    Timer
	alarmFor float64 // the service time it is set for
	alarmAt  time.Duration
	heap     []*Job
	room     queue
	waits    int
	hung     int
	inbox    []*Job // what has come while the world stood still
	seq      int64

	met   map[string]int64 // by key: when it was met last, as a number of seq
	metAt []meeting        // in that order, with what was met again since

	sent  []sentWork // to a cold server, in the window
	sum   float64
	stats Stats
}

type meeting struct {
	key string
	seq int64
	at  time.Duration
}

type sentWork struct {
	at   time.Duration
	work float64
}

// NewServer returns a server that runs and is warm.
func NewServer(s Sched, spec Spec) *Server {
	r := Rand(spec.Seed, "server", spec.Name)
	v := &Server{Spec: spec, sched: s, r: r.Float64, up: true}
	v.room.how = spec.Queue
	return v
}

// Running tells whether its process runs, and since when.
func (s *Server) Running() (bool, time.Duration) { return s.up, s.since }

// Held counts the parts it has.
func (s *Server) Pending() int { return len(s.heap) + s.waits + s.hung + len(s.inbox) }

// Share is the share of its capacity that it has, for being cold.
func (s *Server) CapacityShare() float64 {
	if !s.cold {
		return 1
	}
	age := s.sched.Now() - s.since
	share := float64(age) / float64(s.SlowStart.WarmupTime)
	if s.SlowStart.WarmupParts > 0 {
		share = max(share, float64(s.done)/float64(s.SlowStart.WarmupParts))
	}
	if share >= 1 {
		s.cold = false
		s.sent, s.sum = nil, 0
		return 1
	}
	return s.SlowStart.InitialShare + (1-s.SlowStart.InitialShare)*share
}

// Capacity is the work it can do a second at the moment, in seconds of a core of speed 1.
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

// ColdRoom is the work that a cold server may be sent now before it falls, in
// seconds of a core of speed 1, without the slack for chance; a warm one bears all.
func (s *Server) SlowStartHeadroom() float64 {
	if !s.cold || s.SlowStart.OverloadMultiple <= 0 || s.CapacityShare() >= 1 {
		return math.Inf(1)
	}
	room := s.SlowStart.OverloadMultiple * s.Capacity() * s.SlowStart.OverloadWindow.Seconds()
	for _, w := range s.sent {
		if w.at > s.sched.Now()-s.SlowStart.OverloadWindow {
			room -= w.work
		}
	}
	return room
}

// Backlog is the work of what it has, in seconds of a core of speed 1.
func (s *Server) Backlog() float64 {
	s.count()
	sum := s.room.work
	for _, j := range s.heap {
		sum += max(j.finish-s.service, 0)
	}
	return sum
}

// Sick tells whether a part of a class would come to nothing there.
func (s *Server) Unavailable(class string) bool {
	return !s.up || s.Effects.Paused > 0 || s.Effects.Busy > 0 || strike(s.Effects.Hang, class) > 0 || strike(s.Effects.Fail, class) > 0
}

// strike is the share of a class's parts that an effect hits.
func strike(m map[string]float64, class string) float64 {
	if len(m) == 0 {
		return 0
	}
	return max(m[""], m[class])
}

// Take takes a part. Its Done is called once, unless it is given up or the process
// ends before.
func (s *Server) Submit(j *Job) {
	if !s.up {
		j.state = over
		return
	}
	s.stats.Received++
	s.seq++
	j.seq, j.index = s.seq, -1
	if s.Effects.Paused > 0 { // nobody reads
		s.inbox = append(s.inbox, j)
		return
	}
	if s.push(j) {
		return // it fell over: all that was there is lost, this part with it
	}
	switch {
	case s.Effects.Busy > 0:
		s.end(j, Busy)
	case s.r() < strike(s.Effects.Fail, j.Class):
		if j.OnRun != nil {
			j.OnRun(j)
		}
		s.end(j, Err)
	case s.r() < strike(s.Effects.Hang, j.Class):
		j.state = held
		s.hung++
		if j.OnRun != nil {
			j.OnRun(j)
		}
	case len(s.heap) < s.slots():
		s.room.turn = j.Class
		s.start(j)
		s.settle()
	case s.waits >= s.QueueLimit:
		s.end(j, Busy)
	default:
		j.state = waiting
		s.waits++
		s.room.push(j)
		if s.Knee > 0 {
			s.settle() // held more, it may work slower
		}
	}
	s.stats.MaxPending = max(s.stats.MaxPending, s.Pending())
}

func (s *Server) slots() int { return max(s.Slots, s.Cores) }

// push counts what a cold server is sent and tells whether that pushed it over.
func (s *Server) push(j *Job) bool {
	if !s.cold || s.SlowStart.OverloadMultiple <= 0 || s.SlowStart.OverloadWindow <= 0 || s.CapacityShare() >= 1 {
		return false
	}
	now, work := s.sched.Now(), j.Work.Seconds()
	s.sent = append(s.sent, sentWork{now, work})
	s.sum += work
	most := 0.0
	for len(s.sent) > 0 && s.sent[0].at <= now-s.SlowStart.OverloadWindow {
		s.sum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	for _, w := range s.sent {
		most = max(most, w.work)
	}
	// A little slack for chance: the three heaviest parts a window may bring.
	if s.sum <= s.SlowStart.OverloadMultiple*s.Capacity()*s.SlowStart.OverloadWindow.Seconds()+3*most {
		return false
	}
	if s.OnOverload != nil {
		s.OnOverload(s)
	}
	s.Die()
	s.sched.After(s.SlowStart.Downtime, func() { s.Start(true) })
	return true
}

// Handshake is the work of a new connection.
func (s *Server) Handshake() {
	if s.up && s.Spec.Handshake > 0 {
		s.seq++
		s.start(&Job{Work: s.Spec.Handshake, seq: s.seq, index: -1})
		s.settle()
	}
}

// GiveUp takes a part back that its sender does not wait for any more. One in work
// goes on, unless the server stops such.
func (s *Server) Cancel(j *Job) {
	switch j.state {
	case waiting:
		s.waits--
		s.room.work -= j.Work.Seconds()
		j.state = over // the room drops it when it comes to it
		if s.Knee > 0 {
			s.settle()
		}
	case running:
		if s.CancelsRunning {
			s.count()
			s.takeOut(j)
			j.state = over
			s.next()
			s.settle()
		} else {
			j.Done = nil
		}
	case held:
		s.hung--
		j.state = over
	case 0:
		j.state = over
	}
}

// Die ends the process: all parts are lost.
func (s *Server) Die() {
	if !s.up {
		return
	}
	s.count()
	s.up = false
	for _, j := range s.heap {
		j.state = over
	}
	s.heap = nil
	s.room.each(func(j *Job) { j.state = over })
	s.room = queue{how: s.Queue}
	s.waits, s.hung = 0, 0
	for _, j := range s.inbox {
		j.state = over
	}
	s.inbox = nil
	s.sent, s.sum = nil, 0
	s.met, s.metAt = nil, nil
	s.settle()
	if s.OnDown != nil {
		s.OnDown(s)
	}
}

// Start starts the process again unless a fault keeps it down; cold, if it is to
// and knows of cold.
func (s *Server) Start(cold bool) {
	if s.up || s.Effects.Dead > 0 {
		return
	}
	s.count()
	s.up, s.since, s.done = true, s.sched.Now(), 0
	s.cold = cold && s.SlowStart.WarmupTime > 0
	if s.OnUp != nil {
		s.OnUp(s)
	}
}

// Changed is to be called after a change of Effects.
func (s *Server) EffectsChanged() {
	s.settle()
	if s.Effects.Paused > 0 || len(s.inbox) == 0 {
		return
	}
	inbox := s.inbox
	s.inbox = nil
	for _, j := range inbox {
		if j.state != over {
			s.stats.Received--
			s.Submit(j)
		}
	}
}

// Look tells what it did since the last look.
func (s *Server) TakeStats() Stats {
	s.count()
	st := s.stats
	st.Pending, st.Running, st.Up, st.CapacityShare = s.Pending(), len(s.heap), s.up, s.CapacityShare()
	st.MaxPending = max(st.MaxPending, st.Pending)
	s.stats = Stats{}
	return st
}

// ---- Work. All running parts progress at one rate, so what orders their ends is
// how much service each has still to get: one heap by the service time of its end,
// and one alarm for the first (processor sharing by virtual time, Zhang 1990).

func (s *Server) start(j *Job) {
	s.count()
	j.state = running
	if s.meets(j.Key) {
		j.Work -= time.Duration(s.KeyCache.Gain * float64(j.Work))
	}
	if j.FirstOfCall {
		j.Work += s.CallWork
	}
	j.finish = s.service + j.Work.Seconds()
	j.index = len(s.heap)
	s.heap = append(s.heap, j)
	s.up1(j.index)
	if j.OnRun != nil {
		j.OnRun(j)
	}
}

// meets notes a key, and tells whether it was met lately.
func (s *Server) meets(key string) bool {
	if key == "" || s.KeyCache.Gain <= 0 {
		return false
	}
	now := s.sched.Now()
	forget := func() {
		if m := s.metAt[0]; s.met[m.key] == m.seq { // else it was met again since
			delete(s.met, m.key)
		}
		s.metAt = s.metAt[1:]
	}
	for len(s.metAt) > 0 && s.metAt[0].at < now-s.KeyCache.TTL {
		forget()
	}
	_, known := s.met[key]
	for !known && len(s.met) >= s.KeyCache.MaxKeys {
		forget()
	}
	if s.met == nil {
		s.met = make(map[string]int64)
	}
	s.seq++
	s.met[key] = s.seq
	s.metAt = append(s.metAt, meeting{key, s.seq, now})
	return known
}

// count brings the service time up to now.
func (s *Server) count() {
	now := s.sched.Now()
	if dt := now - s.at; dt > 0 {
		got := s.rate * dt.Seconds()
		s.service += got
		s.stats.Work += time.Duration(got * float64(len(s.heap)) * float64(time.Second))
		s.at = now
	}
}

// coldStep is how often the rate of a server that warms is set anew.
const coldStep = 100 * time.Millisecond

// settle sets the rate and the alarm for what ends first.
func (s *Server) settle() {
	s.count()
	rate := 0.0
	if n := len(s.heap); n > 0 && s.up && s.Effects.Paused == 0 {
		rate = s.Speed * s.CapacityShare()
		if s.Effects.Slow > 0 {
			rate /= s.Effects.Slow
		}
		if n > s.Cores {
			rate *= float64(s.Cores) / float64(n)
		}
		if held := s.Pending(); s.Knee > 0 && held > s.Knee {
			rate /= 1 + s.KneeLoss*float64(held-s.Knee)/float64(s.Knee)
		}
	}
	first := 0.0
	if len(s.heap) > 0 {
		first = s.heap[0].finish
	}
	if s.alarm != nil && rate == s.rate && first == s.alarmFor && rate > 0 && s.alarmAt > s.sched.Now() {
		return
	}
	s.rate = rate
	if s.alarm != nil {
		s.alarm.Stop()
		s.alarm = nil
	}
	if rate <= 0 {
		return
	}
	wait := time.Duration((first-s.service)/rate*float64(time.Second)) + 1
	if wait = max(wait, 0); s.cold {
		wait = min(wait, coldStep)
	}
	s.alarmFor, s.alarmAt = first, s.sched.Now()+wait
	s.alarm = s.sched.After(wait, s.due)
}

// due ends what has had its service.
func (s *Server) due() {
	s.alarm = nil
	s.count()
	for len(s.heap) > 0 && s.heap[0].finish <= s.service+1e-9 {
		j := s.heap[0]
		s.takeOut(j)
		s.done++
		s.next()
		if j.ID != "" { // else it was a handshake
			s.end(j, OK)
		}
	}
	s.settle()
}

// next starts what waits while there are slots.
func (s *Server) next() {
	for s.up && len(s.heap) < s.slots() {
		j := s.room.pop(s.r)
		if j == nil {
			return
		}
		s.waits--
		if j.Deadline > 0 && j.Deadline <= s.sched.Now() { // nobody waits for it any more
			j.state = over
			continue
		}
		s.start(j)
	}
}

func (s *Server) end(j *Job, e End) {
	j.state = over
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

func (s *Server) less(a, b *Job) bool {
	return a.finish < b.finish || a.finish == b.finish && a.seq < b.seq
}

func (s *Server) up1(i int) {
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

func (s *Server) down1(i int) {
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

func (s *Server) takeOut(j *Job) {
	i, last := j.index, len(s.heap)-1
	s.heap[i] = s.heap[last]
	s.heap[i].index = i
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if i < last {
		s.down1(i)
		s.up1(i)
	}
	j.index = -1
}

// queue is a waiting room. What was given up stays in it until it is come to.
type queue struct {
	how  Discipline
	jobs []*Job
	head int
	work float64 // of what waits, in seconds
	turn string  // fair: the class served last
}

func (q *queue) push(j *Job) {
	q.jobs = append(q.jobs, j)
	q.work += j.Work.Seconds()
}

func (q *queue) each(f func(*Job)) {
	for _, j := range q.jobs[q.head:] {
		f(j)
	}
}

// pop takes the next one out; nil: none waits.
func (q *queue) pop(luck func() float64) *Job {
	if q.head > 64 && q.head > len(q.jobs)/2 {
		q.jobs = append(q.jobs[:0], q.jobs[q.head:]...)
		q.head = 0
	}
	for q.head < len(q.jobs) {
		i := q.head
		switch q.how {
		case LIFO:
			i = len(q.jobs) - 1
		case Random:
			i += int(luck() * float64(len(q.jobs)-q.head))
		case Shortest:
			for k := i + 1; k < len(q.jobs); k++ {
				if q.jobs[k].state == waiting && (q.jobs[i].state != waiting || q.jobs[k].Work < q.jobs[i].Work) {
					i = k
				}
			}
		case Fair:
			i = q.fair()
		}
		j := q.jobs[i]
		switch {
		case i == q.head:
			q.jobs[i] = nil
			q.head++
		default: // the order of the others stays
			copy(q.jobs[i:], q.jobs[i+1:])
			q.jobs[len(q.jobs)-1] = nil
			q.jobs = q.jobs[:len(q.jobs)-1]
		}
		if j.state == waiting {
			q.work = max(q.work-j.Work.Seconds(), 0)
			q.turn = j.Class
			return j
		}
	}
	q.jobs, q.head, q.work = q.jobs[:0], 0, 0
	return nil
}

// fair finds the first of the class whose turn it is: the next by name after the
// one served last that has any waiting.
func (q *queue) fair() int {
	best, first := -1, -1
	for i := q.head; i < len(q.jobs); i++ {
		j := q.jobs[i]
		if j.state != waiting {
			continue
		}
		if j.Class > q.turn && (best < 0 || j.Class < q.jobs[best].Class) {
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
