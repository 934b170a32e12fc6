package paths

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLines(t *testing.T) {
	Convey("Lines of a.b=value become a tree", t, func() {
		r, err := ParseLines("a=1\n# no\n\nb.c=x,y\nb.d=true\nunknown.z=?\n")
		So(err, ShouldBeNil)
		So(r.At("a").Int(), ShouldEqual, 1)
		So(r.At("b.c").Items()[1].Text(), ShouldEqual, "y")
		So(r.At("b.d").Bool(), ShouldBeTrue)
		So(r.At("b.none").Number(), ShouldEqual, 0)
		So(r.Err(), ShouldBeNil)
	})
	Convey("Errors name the line or the path", t, func() {
		for text, want := range map[string]string{"a": "line 1", "a=1\na.b=2": "line 2", "a.b=1\na=2": "line 2"} {
			_, err := ParseLines(text)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
		r, _ := ParseLines("limits.memory_mb=lots\nx=1")
		r.At("limits.memory_mb").Int()
		r.At("y").Required() // only the first error is kept
		So(r.Err().Error(), ShouldContainSubstring, `limits.memory_mb: "lots" is not a number`)
	})
}

func TestJSON(t *testing.T) {
	Convey("Exactly one JSON value is accepted", t, func() {
		for _, text := range []string{"", "{", `{"a":1} x`, `{"a":1}{}`} {
			_, err := ParseJSON([]byte(text))
			So(err, ShouldNotBeNil)
		}
		r, err := ParseJSON([]byte(` {"a":[{"b":1},{"b":"x"}],"n":1e400} `))
		So(err, ShouldBeNil)
		items := r.At("a").Items()
		So(items[0].At("b").Int(), ShouldEqual, 1)
		items[1].At("b").Int()
		So(r.Err().Error(), ShouldContainSubstring, "a[1].b")
	})
	Convey("A value of another type is an error and is not converted", t, func() {
		for _, read := range []func(Reader){func(r Reader) { r.Int() }, func(r Reader) { r.Text() }, func(r Reader) { r.Bool() },
			func(r Reader) { r.Items() }, func(r Reader) { r.Object() }} {
			r, _ := ParseJSON([]byte(`{"a":[1.5,{"x":1e999}]}`))
			item := r.At("a").Items()[0]
			item.Int()
			So(r.Err(), ShouldNotBeNil)
			r, _ = ParseJSON([]byte(`{"v":{"x":1}}`))
			at := r.At("v.x")
			_ = at
			read(Reader{path: "v", value: struct{}{}, firstErr: r.firstErr})
			So(r.Err(), ShouldNotBeNil)
		}
	})
}
