package hook

// The pool that hooks run on. It owns the workers and the queue; whose turn it is
// decides core/lanes. It must never have more workers than it was given but for
// those that stand in for stuck ones, and never keep a caller waiting.

import (
	"sync"

	"saddleport/internal/core/lanes"
)

// maxExtra bounds the workers that stand in for stuck ones.
const maxExtra = 16

type job struct {
	run   func(lost func()) // lost: it does not come back, another worker is wanted
	after func()            // once run has returned
}

type pool struct {
	mu      sync.Mutex
	ready   sync.Cond
	lanes   *lanes.Lanes[job]
	workers int
	lost    int // workers that hang in a job that has been given up
	live    int // the others
	closed  bool
}

func newPool(workers, room int) *pool {
	p := &pool{lanes: lanes.New[job](workers, room), workers: workers}
	p.ready.L = &p.mu
	return p
}

// push adds a job; false: there is no room. Workers start with the first jobs.
func (p *pool) push(lane string, run func(lost func()), after func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.lanes.Push(lane, job{run, after}) {
		return false
	}
	if p.live < p.workers {
		p.live++
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
				p.live--
				return
			}
			p.ready.Wait()
			continue
		}
		gone := false // under mu
		p.mu.Unlock()
		j.run(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if gone || p.lost >= maxExtra || p.closed {
				return
			}
			gone = true
			p.lost++
			p.lanes.Done(lane) // its lane goes on without it
			go p.work()        // in its place
		})
		j.after()
		p.mu.Lock()
		if gone {
			p.lost--
			return
		}
		p.lanes.Done(lane)
		p.ready.Signal() // another job of the lane may have waited for this one
	}
}

// load is how many jobs run and wait.
func (p *pool) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lanes.Running(), p.lanes.Waiting()
}

// close has the workers end once the queue is empty.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.ready.Broadcast()
	p.mu.Unlock()
}
