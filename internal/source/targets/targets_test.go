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

const patience = 20 * time.Second // no verdict hangs on a pace

// agent is a scripted stand-in of what holds the list.
type agent struct {
	t  *testing.T
	ln net.Listener
	nc net.Conn
	r  *bufio.Reader
}

// heard is one word of the watch.
type heard struct {
	list   choice.List
	failed bool
}

type taker chan heard

func (k taker) UpdateList(l choice.List, _ Addrs) { k <- heard{list: l} }
func (k taker) FetchFailed()                      { k <- heard{failed: true} }

func listen(t *testing.T) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return &agent{t: t, ln: ln}
}

func (a *agent) accept() {
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	nc, err := a.ln.Accept()
	require.NoError(a.t, err)
	a.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	a.nc, a.r = nc, bufio.NewReader(nc)
}

// asked reads one call and returns its path.
func (a *agent) asked() string {
	first, err := a.r.ReadString('\n')
	require.NoError(a.t, err)
	for line := first; line != "\r\n"; {
		line, err = a.r.ReadString('\n')
		require.NoError(a.t, err)
	}
	return strings.Fields(first)[1]
}

func (a *agent) answer(index int, snapshot bool, rows ...string) {
	body := fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(rows, ","))
	_, err := fmt.Fprintf(a.nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(a.t, err)
}

func row(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
}

func start(t *testing.T, cfg Config) (*Watch, taker) {
	k := make(taker, 16)
	cfg.Cells = 1
	w := New(cfg, k)
	stop, over := make(chan struct{}), make(chan struct{})
	go func() { w.Run(stop); close(over) }()
	t.Cleanup(func() { close(stop); <-over })
	return w, k
}

func (k taker) next(t *testing.T) heard {
	select {
	case h := <-k:
		return h
	case <-time.After(patience):
		require.Fail(t, "nothing was told")
		return heard{}
	}
}

// Where lists are pushed nobody asks for a watch: the decisions have no call for it.
// A mixer that waited to be asked heard of no drain at all.
func TestPushedListIsLookedAtUnasked(t *testing.T) {
	a := listen(t)
	_, k := start(t, Config{Addr: a.ln.Addr().String(), Index: 41, Pushed: true, PollTimeout: patience})
	a.accept()
	require.Equal(t, "/api/targets?index=41&wait=0", a.asked())
	a.answer(41, false) // no news is told to nobody
	require.Equal(t, "/api/targets?index=41&wait=0", a.asked())
	a.answer(43, false, row("s-a", "DRAINING"))
	h := k.next(t)
	require.Equal(t, choice.Delta, h.list.Form)
	require.Equal(t, choice.Draining, h.list.Servers[0].State)
	require.Equal(t, "/api/targets?index=43&wait=0", a.asked())
	a.answer(44, true, row("s-a", "SERVING")) // a whole list, after a gap
	h = k.next(t)
	require.Equal(t, choice.Full, h.list.Form)
	require.Equal(t, "/api/targets?index=44&wait=0", a.asked())
}

// An agent is silent while discovery is down. What it holds once it is back counts as
// told since it got it, which may have been right after its last answer.
func TestSilentAgentIsAskedAgainAndItsNewsIsOld(t *testing.T) {
	a := listen(t)
	var silent atomic.Bool
	silent.Store(true)
	began := time.Now()
	go func() { // each line is served by itself, as long as it lasts
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
					if line != "\r\n" || silent.Load() {
						continue
					}
					body := `{"index":43,"snapshot":false,"endpoints":[` + row("s-a", "DRAINING") + `]}`
					fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
		}
	}()
	_, k := start(t, Config{Addr: a.ln.Addr().String(), Index: 41, Pushed: true, PollTimeout: 50 * time.Millisecond})
	for range 3 {
		require.True(t, k.next(t).failed)
	}
	lasted := time.Since(began)
	silent.Store(false)
	h := k.next(t)
	for h.failed { // a slow machine
		h = k.next(t)
	}
	require.Equal(t, choice.Draining, h.list.Servers[0].State)
	require.GreaterOrEqual(t, h.list.Since, (3 * 50 * time.Millisecond).Microseconds())
	require.Greater(t, lasted, 3*50*time.Millisecond)
}

// A service that answers a watch at once with nothing new is not called in a loop.
func TestWatchAnsweredAtOnceIsNotSpun(t *testing.T) {
	a := listen(t)
	w, _ := start(t, Config{Addr: a.ln.Addr().String(), Index: 41})
	at := time.Now()
	w.Watch(true)
	a.accept()
	for range 5 {
		a.asked()
		a.answer(41, false)
		a.asked()
		require.GreaterOrEqual(t, time.Since(at), leastTurn)
		at = time.Now()
		a.answer(42, false, row("s-a", "SERVING"))
	}
}
