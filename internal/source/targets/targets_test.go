package targets

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
)

const testTimeout = 20 * time.Second // generous: no result depends on timing

// agent is a scripted replacement for the discovery service or the agent.
type agent struct {
	t  *testing.T
	ln net.Listener
	nc net.Conn
	r  *bufio.Reader
}

// update is one call of the receiver by the watch.
type update struct {
	list   choice.List
	failed bool
}

type receiver chan update

func (r receiver) UpdateList(l choice.List, _ Addrs) { r <- update{list: l} }
func (r receiver) FetchFailed()                      { r <- update{failed: true} }

func listen(t *testing.T) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return &agent{t: t, ln: ln}
}

func (a *agent) accept() {
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := a.ln.Accept()
	require.NoError(a.t, err)
	a.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	a.nc, a.r = nc, bufio.NewReader(nc)
}

// readRequest reads one request and returns its path.
func (a *agent) readRequest() string {
	first, err := a.r.ReadString('\n')
	require.NoError(a.t, err)
	for line := first; line != "\r\n"; {
		line, err = a.r.ReadString('\n')
		require.NoError(a.t, err)
	}
	return strings.Fields(first)[1]
}

func (a *agent) respond(index int, snapshot bool, rows ...string) {
	body := fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(rows, ","))
	_, err := fmt.Fprintf(a.nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(a.t, err)
}

func row(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
}

func start(t *testing.T, cfg Config) (*Watch, receiver) {
	received := make(receiver, 16)
	cfg.Cells = 1
	w := New(cfg, received)
	stop, finished := make(chan struct{}), make(chan struct{})
	go func() { w.Run(stop); close(finished) }()
	t.Cleanup(func() { close(stop); <-finished })
	return w, received
}

func (r receiver) next(t *testing.T) update {
	select {
	case u := <-r:
		return u
	case <-time.After(testTimeout):
		require.Fail(t, "no update was received")
		return update{}
	}
}

// Where lists are pushed, the decisions never request a watch. A proxy that polled the agent
// only on request missed every drain.
func TestPushedListIsPolledWithoutWatch(t *testing.T) {
	a := listen(t)
	_, received := start(t, Config{Addr: a.ln.Addr().String(), Index: 41, Pushed: true, PollTimeout: testTimeout})
	a.accept()
	require.Equal(t, "/api/targets?index=41&wait=0", a.readRequest())
	a.respond(41, false) // a response without changes is not passed on
	require.Equal(t, "/api/targets?index=41&wait=0", a.readRequest())
	a.respond(43, false, row("s-a", "DRAINING"))
	u := received.next(t)
	require.Equal(t, choice.Delta, u.list.Form)
	require.Equal(t, choice.Draining, u.list.Servers[0].State)
	require.Equal(t, "/api/targets?index=43&wait=0", a.readRequest())
	a.respond(44, true, row("s-a", "SERVING")) // a full list after a gap
	u = received.next(t)
	require.Equal(t, choice.Full, u.list.Form)
	require.Equal(t, "/api/targets?index=44&wait=0", a.readRequest())
}

// An agent does not answer while the discovery service is down. Once it answers again, the proxy
// counts as informed of its list since the agent received it, which may have been right
// after the agent's last response.
func TestUnresponsiveAgentIsRetriedAndItsChangesAreBackdated(t *testing.T) {
	a := listen(t)
	var unresponsive atomic.Bool
	unresponsive.Store(true)
	startedAt := time.Now()
	go func() { // each connection is served by its own goroutine until it closes
		for {
			nc, err := a.ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				in := bufio.NewReader(nc)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if line != "\r\n" || unresponsive.Load() {
						continue
					}
					body := `{"index":43,"snapshot":false,"endpoints":[` + row("s-a", "DRAINING") + `]}`
					fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
		}
	}()
	_, received := start(t, Config{Addr: a.ln.Addr().String(), Index: 41, Pushed: true, PollTimeout: 50 * time.Millisecond})
	for range 3 {
		require.True(t, received.next(t).failed)
	}
	elapsed := time.Since(startedAt)
	unresponsive.Store(false)
	u := received.next(t)
	for u.failed { // on a slow machine more polls may fail
		u = received.next(t)
	}
	require.Equal(t, choice.Draining, u.list.Servers[0].State)
	require.GreaterOrEqual(t, u.list.Since, (3 * 50 * time.Millisecond).Microseconds())
	require.Greater(t, elapsed, 3*50*time.Millisecond)
}

// A service that answers a watch immediately without changes is not called in a busy loop.
func TestWatchAnsweredAtOnceDoesNotSpin(t *testing.T) {
	a := listen(t)
	w, _ := start(t, Config{Addr: a.ln.Addr().String(), Index: 41})
	at := time.Now()
	w.Watch(true)
	a.accept()
	for range 5 {
		a.readRequest()
		a.respond(41, false)
		a.readRequest()
		require.GreaterOrEqual(t, time.Since(at), minInterval)
		at = time.Now()
		a.respond(42, false, row("s-a", "SERVING"))
	}
}
