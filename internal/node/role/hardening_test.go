package role

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/lab/standin"
)

// Several core processes on loopback: an order sent again and another one under its number, a
// replacement that takes the vote of a machine that is told to stop, and one machine alone.
func TestControlUnderLosses(t *testing.T) {
	Convey("Three core machines and their successor", t, func() {
		f := newFleet(t)
		for m := 1; m <= 3; m++ {
			f.start("keel", m, true, Keel)
		}
		order := config(1, "a")
		until("an order acknowledged", func() bool {
			code, _ := f.call("POST", f.control(1), "/Config.Replace", order)
			return code == 200
		})
		for m := 1; m <= 3; m++ { // to any machine
			code, text := f.call("POST", f.control(m), "/Config.Replace", order)
			So(text, ShouldBeIn, "{}", "")
			So(code, ShouldEqual, 200)
			code, text = f.call("POST", f.control(m), "/Config.Replace", config(1, "b"))
			So(code, ShouldEqual, 409)
			So(text, ShouldContainSubstring, "revision 1")
		}
		So(f.must("GET", 2, "/Config.Describe", ""), ShouldEqual, order)
		f.must("POST", 3, "/Config.Replace", config(2, "c"))
		for _, late := range []string{config(1, "a"), config(2, "c")} { // also after newer ones
			f.must("POST", 2, "/Config.Replace", late)
		}
		code, _ := f.call("POST", f.control(2), "/Config.Replace", config(1, "b"))
		So(code, ShouldEqual, 409)

		f.start("keel", 4, false, Keel)
		until("the successor learns", func() bool { return f.shows("keel", 4, "\n  2 ") })
		So(f.votes(1, 4), ShouldBeFalse) // and has no vote yet
		f.stop("keel", 1)
		until("it has the vote", func() bool { return f.votes(2, 4) && !f.votes(2, 1) })
		until("the next order acknowledged", func() bool {
			code, _ := f.call("POST", f.control(4), "/Config.Replace", config(3, "d"))
			return code == 200
		})

		s, err := standin.NewServer("i-a", nil)
		So(err, ShouldBeNil)
		defer s.Close()
		So(f.beat(4, s, "s", "available", 1), ShouldEqual, 200)
		f.kill("keel", 2)
		f.kill("keel", 3)
		until("the machine that is left knows that it is alone", func() bool {
			code, text := f.call("GET", f.control(4), "/Config.Describe", "")
			return code == 503 && strings.Contains(text, "out of touch")
		})
		code, _ = f.call("POST", f.control(4), "/Config.Replace", config(4, "e"))
		So(code, ShouldEqual, 503)
		So(f.beat(4, s, "s", "available", 2), ShouldEqual, 200)
		So(f.beat(4, s, "s", "draining", 3), ShouldEqual, 503) // it is told on, and not acknowledged
		for m := 2; m <= 3; m++ {
			f.start("keel", m, false, Keel)
		}
		until("the core again, with what it acknowledged", func() bool {
			code, text := f.call("GET", f.control(4), "/Config.Describe", "")
			return code == 200 && text == config(3, "d")
		})
	})
}

// votes tells whether a machine has a vote, as another one sees it.
func (f *fleet) votes(seenBy, machine int) bool {
	return f.shows("keel", seenBy, fmt.Sprintf("%s:%d/", f.ip(machine), f.port))
}

// must calls until it is answered 200.
func (f *fleet) must(method string, machine int, path, body string) (text string) {
	until(method+" "+path, func() bool {
		code, answer := f.call(method, f.control(machine), path, body)
		text = answer
		return code == 200
	})
	return text
}
