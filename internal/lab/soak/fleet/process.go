package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const restartDelay = 200 * time.Millisecond

// process is one program on one machine. It is restarted whenever it ends.
type process struct {
	machine, program string
	command          []string
	log              *os.File
	clock            func() time.Duration

	mu        sync.Mutex
	running   *exec.Cmd
	starts    []time.Duration
	notBefore time.Time // earliest time of the next start
	wipe      string    // a directory to delete before the next start
	stopping  bool
	done      chan struct{}
}

func newProcess(machine, program, dir string, clock func() time.Duration, command ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, program+".log"))
	if err != nil {
		return nil, err
	}
	return &process{machine: machine, program: program, command: command, log: log, clock: clock, done: make(chan struct{})}, nil
}

// run starts the process, and restarts it whenever it ends, until end is called.
func (p *process) run() {
	defer close(p.done)
	defer p.log.Close()
	for {
		command, err := p.start()
		if err != nil {
			return
		}
		command.Wait()
		p.mu.Lock()
		p.running = nil
		wait := max(time.Until(p.notBefore), restartDelay)
		stopping := p.stopping
		p.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(wait)
	}
}

var errStopping = errors.New("the fleet is being closed")

func (p *process) start() (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil, errStopping
	}
	if p.wipe != "" {
		os.RemoveAll(p.wipe)
		p.wipe = ""
	}
	command := exec.Command(p.command[0], p.command[1:]...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", p.command[0], err)
	}
	p.running = command
	p.starts = append(p.starts, p.clock())
	return command, nil
}

// signal sends a signal if the process runs. The process is not restarted before downtime has passed.
// If wipe is not empty, that directory is deleted before the next start.
func (p *process) signal(signal syscall.Signal, downtime time.Duration, wipe string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(downtime); downtime > 0 && until.After(p.notBefore) {
		p.notBefore = until
	}
	if wipe != "" {
		p.wipe = wipe
	}
	if p.running != nil {
		p.running.Process.Signal(signal)
	}
}

// end kills the process and waits for it.
func (p *process) end() {
	p.mu.Lock()
	p.stopping = true
	if p.running != nil {
		p.running.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}

// pid returns the process id, or 0 if the process does not run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// startTimes returns the times of all starts of the process.
func (p *process) startTimes() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Duration(nil), p.starts...)
}
