package hook

// The worker pool that hooks run on. It owns the workers; package core/lanes holds the
// queue and decides which job runs next. The pool must never run more workers than
// configured, except for replacements of stuck workers, and must never block a caller.

import (
	"sync"

	"saddleport/internal/core/lanes"
)

// maxReplacements limits the number of workers that replace stuck ones.
const maxReplacements = 16

type job struct {
	run   func(stuck func()) // calls stuck if it does not return in time: its worker is to be replaced
	after func()             // called once run has returned
}

type pool struct {
	mu      sync.Mutex
	ready   sync.Cond
	lanes   *lanes.Lanes[job]
	workers int
	stuck   int // workers that still run a job which was abandoned
	active  int // all other workers
	closed  bool
}

func newPool(workers, queueSize int) *pool {
	p := &pool{lanes: lanes.New[job](workers, queueSize), workers: workers}
	p.ready.L = &p.mu
	return p
}

// push adds a job and reports whether there was capacity for it. Workers are started on
// demand, by the first jobs.
func (p *pool) push(lane string, run func(stuck func()), after func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.lanes.Push(lane, job{run, after}) {
		return false
	}
	if p.active < p.workers {
		p.active++
		go p.work()
	} else {
		p.ready.Signal()
	}
	return true
}

func (p *pool) work() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		j, lane, ok := p.lanes.Next()
		if !ok {
			if p.closed {
				p.active--
				return
			}
			p.ready.Wait()
			continue
		}
		replaced := false // guarded by mu
		p.mu.Unlock()
		j.run(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if replaced || p.stuck >= maxReplacements || p.closed {
				return
			}
			replaced = true
			p.stuck++
			p.lanes.Done(lane) // the lane no longer counts this job as running
			go p.work()        // the replacement
		})
		j.after()
		p.mu.Lock()
		if replaced {
			p.stuck--
			return
		}
		p.lanes.Done(lane)
		p.ready.Signal() // another job of the lane may have waited for this one
	}
}

// load returns the number of jobs that run and that wait.
func (p *pool) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lanes.Running(), p.lanes.Waiting()
}

// close makes the workers exit once the queue is empty.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.ready.Broadcast()
	p.mu.Unlock()
}
