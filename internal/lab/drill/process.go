package drill

// What the machine tells of a process, and other small looks outside.

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"saddleport/internal/inifile"
)

// process is a process's memory and open files; 0 where the system does not tell.
func process(pid int) (rss inifile.Bytes, files int) {
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

// freePort finds a port that nobody listens on.
func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

func ready(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	p.Body.Close()
	return p.StatusCode == 200
}

// tail is the end of a file.
func tail(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-8, 0):], "\n")
}
