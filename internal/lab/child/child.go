// Package child runs the mixer as a child process for the rig and looks at it from
// outside. It must never outlive the rig: a child dies with its parent.
package child

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"saddleport/internal/inifile"
)

// Look is a process's memory and open files; 0 where the system does not tell.
func ResourceUsage(pid int) (rss inifile.Bytes, files int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kib int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kib); n == 1 {
			rss = inifile.Bytes(kib << 10)
		}
	}
	if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		files = len(list)
	}
	return rss, files
}

// FreePort finds a port that nobody listens on.
func FreePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// Ready tells whether a mixer says that it is.
func Ready(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == 200
}

// Tail is the end of a file.
func Tail(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-8, 0):], "\n")
}

// readyTime is how long a mixer may take to be ready.
const readyTime = 60 * time.Second

// Mixer is one child process.
type Proxy struct {
	Cmd    *exec.Cmd
	Listen string
	Exited chan error // holds how it ended, once it has
	Log    string
}

// Start starts the program with its arguments and waits until it listens and says
// that it is ready; also, if given, until more says so.
func Start(program, listen, log string, more func() bool, args ...string) (*Proxy, error) {
	x := &Proxy{Exited: make(chan error, 1), Log: log, Listen: listen}
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	x.Cmd = exec.Command(program, args...)
	x.Cmd.Stdout, x.Cmd.Stderr = out, out
	x.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() { x.Exited <- x.Cmd.Wait() }()
	for until := time.Now().Add(readyTime); ; time.Sleep(20 * time.Millisecond) {
		if Ready(listen) && (more == nil || more()) {
			return x, nil
		}
		select {
		case err := <-x.Exited:
			x.Exited <- err
			return nil, fmt.Errorf("the mixer did not start: %v\n%s", err, Tail(log))
		default:
		}
		if time.Now().After(until) {
			x.Kill()
			return nil, errors.New("the mixer was not ready in time\n" + Tail(log))
		}
	}
}

// Signal sends a signal; one to a process that has ended is let be.
func (x *Proxy) Signal(s os.Signal) { x.Cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (x *Proxy) Kill() {
	x.Cmd.Process.Kill()
	err := <-x.Exited
	x.Exited <- err
}

// Wait waits for the end of a process, at most so long.
func (x *Proxy) Wait(most time.Duration) error {
	select {
	case err := <-x.Exited:
		x.Exited <- err
		if err != nil {
			return fmt.Errorf("a mixer ended with %w\n%s", err, Tail(x.Log))
		}
		return nil
	case <-time.After(most):
		x.Kill()
		return fmt.Errorf("a mixer did not end %v after it was told to", most)
	}
}
