package downstream

import (
	"errors"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/settings"
)

// hookedListener calls before when the first read deadline of an accepted connection is about to be set.
type hookedListener struct {
	net.Listener
	before func()
}

func (l hookedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: nc, before: l.before}, nil
}

type hookedConn struct {
	net.Conn
	called atomic.Bool
	before func()
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	if c.called.CompareAndSwap(false, true) {
		c.before()
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseIdle closes a connection that has just been accepted, even if it runs while the connection is set up.
func TestCloseIdleDuringAccept(t *testing.T) {
	Convey("A connection is closed although CloseIdle ran before its first deadline was set", t, func() {
		ex, err := exchange.New(1, settings.Settings{Router: choice.Settings{Cells: 1, Width: 1, AttemptCap: 1, ClassesLater: true}})
		So(err, ShouldBeNil)
		server := New(Config{Exchange: ex, Protocol: largeResponses{}, MaxClients: 2, Limits: Limits{FirstRequest: time.Minute, Request: time.Minute, Idle: time.Minute}})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { ln.Close() })
		go server.Serve(hookedListener{ln, func() { server.CloseIdle(0) }})
		client := dialFrom("127.0.0.1", ln.Addr().String())
		Reset(func() { client.Close() })
		for server.Clients() == 0 {
			runtime.Gosched()
		}
		server.CloseIdle(0)
		_, err = client.Read(make([]byte, 1))
		var timeout net.Error
		So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeFalse) // closed by the server, not given up by the client
	})
}
