// Package lanes is a queue of jobs with fair scheduling: no lane (a class of queries,
// say) can starve another. It is pure: no I/O, no clock, no goroutine; its caller
// provides the locking.
//
// Lanes are served round robin. One lane uses at most half of the queue's capacity and
// all workers but one: however many of its jobs hang, a job of another lane finds a
// worker. With a single worker no worker can be reserved.
package lanes

// Lanes is the queue of waiting jobs. Use New to create one.
type Lanes[T any] struct {
	workers, capacity int
	waiting           int
	lanes             map[string]*lane[T]
	ready             []string // lanes with waiting jobs, the next one first
	running           int
}

type lane[T any] struct {
	jobs    []T
	running int
}

// New returns a queue for a number of workers that holds up to capacity waiting jobs.
func New[T any](workers, capacity int) *Lanes[T] {
	return &Lanes[T]{workers: max(workers, 1), capacity: max(capacity, 1), lanes: make(map[string]*lane[T])}
}

// maxPerLane returns how many workers one lane may use.
func (l *Lanes[T]) maxPerLane() int { return max(l.workers-1, 1) }

// Push adds a job to a lane. It returns false if the queue, or the lane's part of it, is
// full.
func (l *Lanes[T]) Push(name string, job T) bool {
	ln := l.lanes[name]
	if l.waiting >= l.capacity || ln != nil && len(ln.jobs) >= max(l.capacity/2, 1) {
		return false
	}
	if ln == nil {
		ln = &lane[T]{}
		l.lanes[name] = ln
	}
	if len(ln.jobs) == 0 {
		l.ready = append(l.ready, name)
	}
	ln.jobs = append(ln.jobs, job)
	l.waiting++
	return true
}

// Next returns the next job that may run and its lane. Done must be called when it ends.
func (l *Lanes[T]) Next() (job T, name string, ok bool) {
	if l.running >= l.workers {
		return job, "", false
	}
	for i, name := range l.ready {
		ln := l.lanes[name]
		if ln.running >= l.maxPerLane() {
			continue
		}
		job = ln.jobs[0]
		var zero T
		ln.jobs[0] = zero
		ln.jobs = ln.jobs[1:]
		l.waiting--
		ln.running++
		l.running++
		l.ready = append(l.ready[:i:i], l.ready[i+1:]...)
		if len(ln.jobs) > 0 {
			l.ready = append(l.ready, name)
		}
		return job, name, true
	}
	return job, "", false
}

// Done records that a job of the lane has ended.
func (l *Lanes[T]) Done(name string) {
	ln := l.lanes[name]
	ln.running--
	l.running--
	if ln.running == 0 && len(ln.jobs) == 0 {
		delete(l.lanes, name)
	}
}

// Waiting returns the number of waiting jobs.
func (l *Lanes[T]) Waiting() int { return l.waiting }

// Running returns the number of running jobs.
func (l *Lanes[T]) Running() int { return l.running }
