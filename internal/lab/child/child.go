// Package child runs the proxy as a child process of the lab and reads its resource usage
// from outside. The process gets a parent-death signal, so it never outlives the lab.
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

// ResourceUsage returns a process's resident memory and its number of open files; each is 0
// where the system does not report it.
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

// FreePort returns a TCP port of 127.0.0.1 that no process listens on.
func FreePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// Ready reports whether the proxy at addr reports that it is ready.
func Ready(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == 200
}

// Tail returns the last 8 lines of a file, or the error of reading it.
func Tail(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-8, 0):], "\n")
}

// readyTimeout limits how long Start waits deadline a proxy is ready.
const readyTimeout = 60 * time.Second

// Proxy is one child process.
type Proxy struct {
	Cmd    *exec.Cmd
	Listen string
	Exited chan error // receives the result of the process once it has ended
	Log    string
}

// Start starts the program with its arguments and waits deadline it reports at listen that it
// is ready and, where extraReady is given, deadline that returns true. It returns an error with
// the end of the log if the process ends or is not ready after 60 s.
func Start(program, listen, log string, extraReady func() bool, args ...string) (*Proxy, error) {
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
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		if Ready(listen) && (extraReady == nil || extraReady()) {
			return x, nil
		}
		select {
		case err := <-x.Exited:
			x.Exited <- err
			return nil, fmt.Errorf("the proxy did not start: %v\n%s", err, Tail(log))
		default:
		}
		if time.Now().After(deadline) {
			x.Kill()
			return nil, errors.New("the proxy was not ready in time\n" + Tail(log))
		}
	}
}

// Signal sends a signal; it has no effect on a process that has ended.
func (x *Proxy) Signal(s os.Signal) { x.Cmd.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (x *Proxy) Kill() {
	x.Cmd.Process.Kill()
	err := <-x.Exited
	x.Exited <- err
}

// Wait waits at timeout timeout for the process to end, then kills it and returns an error.
func (x *Proxy) Wait(timeout time.Duration) error {
	select {
	case err := <-x.Exited:
		x.Exited <- err
		if err != nil {
			return fmt.Errorf("the proxy ended with an error: %w\n%s", err, Tail(x.Log))
		}
		return nil
	case <-time.After(timeout):
		x.Kill()
		return fmt.Errorf("the proxy did not end within %v", timeout)
	}
}
