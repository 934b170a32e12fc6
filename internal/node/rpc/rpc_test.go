package rpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type word struct {
	Text string `json:"t"`
}

// What a call does with what peers send, good and bad.
func TestCalls(t *testing.T) {
	Convey("Calls over loopback", t, func() {
		plain := Declare[word, word]("POST", "/T.Plain/{name}", 64<<10, "tests")
		packed := Declare[word, word]("POST", "/T.Packed", 64<<10, "tests").WithCompression()
		raw := Declare[Raw, Raw]("POST", "/T.Raw", 1<<10, "tests")
		mux, seen := http.NewServeMux(), make(chan http.Header, 9)
		plain.Handle(mux, func(_ context.Context, who RequestInfo, w word) (word, error) {
			switch w.Text {
			case "later":
				o := Errorf(503, "not now")
				o.RetryAfter = 250 * time.Millisecond
				return w, o
			case "broken":
				return w, errors.New("inside")
			}
			return word{who.Name + w.Text}, nil
		})
		packed.Handle(mux, func(_ context.Context, _ RequestInfo, w word) (word, error) { return word{w.Text + w.Text}, nil })
		raw.Handle(mux, func(_ context.Context, _ RequestInfo, r Raw) (Raw, error) { return r, nil })
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go Serve(ctx, ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case seen <- r.Header.Clone():
			default:
			}
			mux.ServeHTTP(w, r)
		}), 0)
		addr, via := ln.Addr().String(), NewClient(time.Second)
		defer via.Close()
		post := func(path, body string, head http.Header) (int, string, http.Header) {
			r, _ := http.NewRequest("POST", "http://"+addr+path, strings.NewReader(body))
			if head != nil {
				r.Header = head
			}
			p, err := http.DefaultClient.Do(r)
			So(err, ShouldBeNil)
			defer p.Body.Close()
			b, _ := io.ReadAll(p.Body)
			return p.StatusCode, string(b), p.Header
		}

		Convey("carry a pair of types, and a name", func() {
			ans, err := plain.Invoke(ctx, via, addr, "me:", word{"x"})
			So(err, ShouldBeNil)
			So(ans.Text, ShouldEqual, "me:x")
			bytesBack, err := raw.Invoke(ctx, via, addr, "", Raw("{ not : json"))
			So(err, ShouldBeNil)
			So(string(bytesBack), ShouldEqual, "{ not : json")
		})
		Convey("tell an outcome as a value", func() {
			_, err := plain.Invoke(ctx, via, addr, "n", word{"later"})
			var o *StatusError
			So(errors.As(err, &o), ShouldBeTrue)
			So(o.Status, ShouldEqual, 503)
			So(o.Reason, ShouldEqual, "not now")
			_, _, head := post("/T.Plain/n", `{"t":"later"}`, nil)
			So(head.Get("Retry-After"), ShouldEqual, "0.25")
			_, err = plain.Invoke(ctx, via, addr, "n", word{"broken"})
			So(errors.As(err, &o), ShouldBeTrue)
			So(o.Status, ShouldEqual, 503)
		})
		Convey("refuse what can't be read or is too large", func() {
			code, text, _ := post("/T.Plain/n", `{"t":`, nil)
			So(code, ShouldEqual, 400)
			So(text, ShouldContainSubstring, "unexpected end")
			code, _, _ = post("/T.Raw", strings.Repeat("x", 1<<10+1), nil)
			So(code, ShouldEqual, 413)
			code, _, _ = post("/T.Packed", "no zstd at all", http.Header{"Content-Encoding": {"zstd"}})
			So(code, ShouldEqual, 400)
			code, text, _ = post("/T.Packed", "{}", http.Header{"Content-Encoding": {"br"}})
			So(code, ShouldEqual, 400)
			So(text, ShouldContainSubstring, "br")
			head := http.Header{}
			bomb := pack(head, bytes.Repeat([]byte("0"), 1<<20)) // small on the wire
			So(len(bomb), ShouldBeLessThan, 1<<10)
			code, _, _ = post("/T.Packed", string(bomb), head)
			So(code, ShouldEqual, 400)
			_, err := packed.Invoke(ctx, via, addr, "", word{strings.Repeat("x", 40<<10)})
			So(err.Error(), ShouldContainSubstring, "more than") // the answer is
		})
		Convey("go packed both ways where they are large, and only then", func() {
			ans, err := packed.Invoke(ctx, via, addr, "", word{strings.Repeat("ab", 4<<10)})
			So(err, ShouldBeNil)
			So(ans.Text, ShouldEqual, strings.Repeat("ab", 8<<10))
			So((<-seen).Get("Content-Encoding"), ShouldEqual, "zstd")
			_, err = packed.Invoke(ctx, via, addr, "", word{"ab"})
			So(err, ShouldBeNil)
			So((<-seen).Get("Content-Encoding"), ShouldEqual, "")
			code, text, head := post("/T.Packed", `{"t":"`+strings.Repeat("x", 2<<10)+`"}`, nil) // one that does not ask for it
			So(code, ShouldEqual, 200)
			So(head.Get("Content-Encoding"), ShouldEqual, "")
			So(text, ShouldStartWith, `{"t":"xxx`)
		})
		Convey("end with who asks", func() {
			gone, end := context.WithCancel(ctx)
			end()
			_, err := plain.Invoke(gone, via, addr, "n", word{"x"})
			So(err, ShouldNotBeNil)
			cancel()
			until := time.Now().Add(10 * time.Second)
			for err = nil; err == nil && time.Now().Before(until); {
				_, err = plain.Invoke(context.Background(), via, addr, "n", word{"x"})
			}
			So(err, ShouldNotBeNil)
		})
	})
}

// What finds no slot is told to come again, and is not kept waiting; the others are answered.
func TestSlots(t *testing.T) {
	Convey("A call of which two may be answered at once", t, func() {
		call := Declare[word, word]("POST", "/T.Slots", 1<<10, "tests").WithConcurrencyLimit(2)
		mux, in, release := http.NewServeMux(), make(chan struct{}, 9), make(chan struct{})
		call.Handle(mux, func(_ context.Context, _ RequestInfo, w word) (word, error) {
			in <- struct{}{}
			<-release
			return w, nil
		})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go Serve(ctx, ln, mux, 0)
		via := NewClient(time.Second)
		defer via.Close()
		ended := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := call.Invoke(ctx, via, ln.Addr().String(), "", word{"a"})
				ended <- err
			}()
		}
		<-in
		<-in
		_, err = call.Invoke(ctx, via, ln.Addr().String(), "", word{"one too many"})
		var out *StatusError
		So(errors.As(err, &out), ShouldBeTrue)
		So(out.Status, ShouldEqual, 503)
		close(release)
		So(<-ended, ShouldBeNil)
		So(<-ended, ShouldBeNil)
	})
}
