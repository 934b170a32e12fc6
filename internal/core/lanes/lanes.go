// Package lanes decides which of the jobs that wait is next, so that no lane (a
// class of query, say) can keep another from being served. It is pure: no I/O, no
// clock, no goroutine; its caller holds a lock over it.
//
// Lanes are served in turn (round robin). One lane holds at most half of the room
// to wait, and all workers but one: however many of its jobs hang, another lane's
// job finds a worker. With one worker there is nothing to keep back.
package lanes

// Lanes holds the jobs that wait. New makes one.
type Lanes[T any] struct {
	workers, room int
	waiting       int
	lanes         map[string]*lane[T]
	order         []string // lanes with jobs waiting, the next one first
	running       int
}

type lane[T any] struct {
	jobs    []T
	running int
}

// New returns lanes for so many workers, with room for so many jobs to wait.
func New[T any](workers, room int) *Lanes[T] {
	return &Lanes[T]{workers: max(workers, 1), room: max(room, 1), lanes: make(map[string]*lane[T])}
}

// most is how many workers one lane may have.
func (l *Lanes[T]) maxPerLane() int { return max(l.workers-1, 1) }

// Push adds a job; false: there is no room for it.
func (l *Lanes[T]) Push(name string, job T) bool {
	x := l.lanes[name]
	if l.waiting >= l.room || x != nil && len(x.jobs) >= max(l.room/2, 1) {
		return false
	}
	if x == nil {
		x = &lane[T]{}
		l.lanes[name] = x
	}
	if len(x.jobs) == 0 {
		l.order = append(l.order, name)
	}
	x.jobs = append(x.jobs, job)
	l.waiting++
	return true
}

// Next takes the next job that may run. Done must follow.
func (l *Lanes[T]) Next() (job T, name string, ok bool) {
	if l.running >= l.workers {
		return job, "", false
	}
	for i, name := range l.order {
		x := l.lanes[name]
		if x.running >= l.maxPerLane() {
			continue
		}
		job = x.jobs[0]
		var none T
		x.jobs[0] = none
		x.jobs = x.jobs[1:]
		l.waiting--
		x.running++
		l.running++
		l.order = append(l.order[:i:i], l.order[i+1:]...)
		if len(x.jobs) > 0 {
			l.order = append(l.order, name)
		}
		return job, name, true
	}
	return job, "", false
}

// Done says that a job of the lane has ended.
func (l *Lanes[T]) Done(name string) {
	x := l.lanes[name]
	x.running--
	l.running--
	if x.running == 0 && len(x.jobs) == 0 {
		delete(l.lanes, name)
	}
}

// Waiting and Running count the jobs.
func (l *Lanes[T]) Waiting() int { return l.waiting }
func (l *Lanes[T]) Running() int { return l.running }
