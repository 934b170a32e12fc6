package fleet

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/lab/soak/plan"
)

func TestBlocks(t *testing.T) {
	Convey("Which ways a cut closes", t, func() {
		both := blocks(plan.Fault{Kind: plan.Cut, Machines: []string{"a", "b"}})
		So(both("a", "c"), ShouldBeTrue)
		So(both("c", "a"), ShouldBeTrue)
		So(both("a", "b"), ShouldBeFalse)
		So(both("c", "d"), ShouldBeFalse)
		deaf := blocks(plan.Fault{Kind: plan.CutOneWay, Machines: []string{"a"}})
		So(deaf("c", "a"), ShouldBeTrue)
		So(deaf("a", "c"), ShouldBeFalse)
	})
}

// A cut holds up what is sent, and loses none of it.
func TestRelay(t *testing.T) {
	Convey("Bytes through a relay", t, func() {
		target, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer target.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			for {
				conn, err := target.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		listen, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := listen.Addr().String()
		listen.Close()
		n := newNetwork()
		r, err := startRelay(n, "machine", addr, target.Addr().String(), func(string) string { return "caller" })
		So(err, ShouldBeNil)
		defer r.close()
		conn, err := net.Dial("tcp4", addr)
		So(err, ShouldBeNil)
		defer conn.Close()
		far := <-accepted
		defer far.Close()
		pass := func(from, to net.Conn, text string) {
			_, err := io.WriteString(from, text)
			So(err, ShouldBeNil)
			got := make([]byte, len(text))
			_, err = io.ReadFull(to, got)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, text)
		}
		pass(conn, far, "there")
		pass(far, conn, "and back")

		n.cut("c", blocks(plan.Fault{Kind: plan.CutOneWay, Machines: []string{"machine"}}))
		pass(far, conn, "it is heard")
		_, err = io.WriteString(conn, "and does not hear")
		So(err, ShouldBeNil)
		passes, _ := n.passes("caller", "machine")
		So(passes, ShouldBeFalse)
		n.heal("c")
		got := make([]byte, len("and does not hear"))
		_, err = io.ReadFull(far, got)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "and does not hear")
	})
}
