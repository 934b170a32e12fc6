package fleet

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/lab/soak/plan"
)

func TestBlocks(t *testing.T) {
	Convey("The directions that a cut blocks", t, func() {
		both := blocks(plan.Fault{Kind: plan.Cut, Machines: []string{"a", "b"}})
		So(both("a", "c"), ShouldBeTrue)
		So(both("c", "a"), ShouldBeTrue)
		So(both("a", "b"), ShouldBeFalse)
		So(both("c", "d"), ShouldBeFalse)
		oneWay := blocks(plan.Fault{Kind: plan.CutOneWay, Machines: []string{"a"}})
		So(oneWay("c", "a"), ShouldBeTrue)
		So(oneWay("a", "c"), ShouldBeFalse)
	})
}

// A cut must delay bytes and lose none of them.
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
		pass(far, conn, "sent out of the cut")
		_, err = io.WriteString(conn, "sent into the cut")
		So(err, ShouldBeNil)
		passes, _ := n.passes("caller", "machine")
		So(passes, ShouldBeFalse)
		n.heal("c")
		got := make([]byte, len("sent into the cut"))
		_, err = io.ReadFull(far, got)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "sent into the cut")
	})
}
