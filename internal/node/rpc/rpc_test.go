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

type message struct {
	Text string `json:"t"`
}

// TestCalls checks calls over loopback: valid requests, error statuses, malformed and oversized
// bodies, compression, and cancelled callers.
func TestCalls(t *testing.T) {
	Convey("Calls over loopback", t, func() {
		plain := Declare[message, message]("POST", "/T.Plain/{name}", 64<<10, "tests")
		packed := Declare[message, message]("POST", "/T.Packed", 64<<10, "tests").WithCompression()
		raw := Declare[Raw, Raw]("POST", "/T.Raw", 1<<10, "tests")
		mux, headers := http.NewServeMux(), make(chan http.Header, 9)
		plain.Handle(mux, func(_ context.Context, info RequestInfo, w message) (message, error) {
			switch w.Text {
			case "later":
				status := Errorf(503, "not now")
				status.RetryAfter = 250 * time.Millisecond
				return w, status
			case "broken":
				return w, errors.New("inside")
			}
			return message{info.Name + w.Text}, nil
		})
		packed.Handle(mux, func(_ context.Context, _ RequestInfo, w message) (message, error) {
			return message{w.Text + w.Text}, nil
		})
		raw.Handle(mux, func(_ context.Context, _ RequestInfo, r Raw) (Raw, error) { return r, nil })
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go Serve(ctx, ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case headers <- r.Header.Clone():
			default:
			}
			mux.ServeHTTP(w, r)
		}), 0)
		addr, client := ln.Addr().String(), NewClient(time.Second)
		defer client.Close()
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

		Convey("transfer a request, a response and a name", func() {
			ans, err := plain.Invoke(ctx, client, addr, "me:", message{"x"})
			So(err, ShouldBeNil)
			So(ans.Text, ShouldEqual, "me:x")
			echoed, err := raw.Invoke(ctx, client, addr, "", Raw("{ not : json"))
			So(err, ShouldBeNil)
			So(string(echoed), ShouldEqual, "{ not : json")
		})
		Convey("return an error status as a StatusError", func() {
			_, err := plain.Invoke(ctx, client, addr, "n", message{"later"})
			var status *StatusError
			So(errors.As(err, &status), ShouldBeTrue)
			So(status.Status, ShouldEqual, 503)
			So(status.Reason, ShouldEqual, "not now")
			_, _, head := post("/T.Plain/n", `{"t":"later"}`, nil)
			So(head.Get("Retry-After"), ShouldEqual, "0.25")
			_, err = plain.Invoke(ctx, client, addr, "n", message{"broken"})
			So(errors.As(err, &status), ShouldBeTrue)
			So(status.Status, ShouldEqual, 503)
		})
		Convey("reject bodies that are malformed or too large", func() {
			code, text, _ := post("/T.Plain/n", `{"t":`, nil)
			So(code, ShouldEqual, 400)
			So(text, ShouldContainSubstring, "unexpected end")
			code, _, _ = post("/T.Raw", strings.Repeat("x", 1<<10+1), nil)
			So(code, ShouldEqual, 413)
			code, _, _ = post("/T.Packed", "not zstd data", http.Header{"Content-Encoding": {"zstd"}})
			So(code, ShouldEqual, 400)
			code, text, _ = post("/T.Packed", "{}", http.Header{"Content-Encoding": {"br"}})
			So(code, ShouldEqual, 400)
			So(text, ShouldContainSubstring, "br")
			head := http.Header{}
			bomb := compress(head, bytes.Repeat([]byte("0"), 1<<20)) // small when compressed
			So(len(bomb), ShouldBeLessThan, 1<<10)
			code, _, _ = post("/T.Packed", string(bomb), head)
			So(code, ShouldEqual, 400)
			_, err := packed.Invoke(ctx, client, addr, "", message{strings.Repeat("x", 40<<10)})
			So(err.Error(), ShouldContainSubstring, "more than") // the response is too large, not the request
		})
		Convey("are compressed in both directions only if they are large", func() {
			ans, err := packed.Invoke(ctx, client, addr, "", message{strings.Repeat("ab", 4<<10)})
			So(err, ShouldBeNil)
			So(ans.Text, ShouldEqual, strings.Repeat("ab", 8<<10))
			So((<-headers).Get("Content-Encoding"), ShouldEqual, "zstd")
			_, err = packed.Invoke(ctx, client, addr, "", message{"ab"})
			So(err, ShouldBeNil)
			So((<-headers).Get("Content-Encoding"), ShouldEqual, "")
			code, text, head := post("/T.Packed", `{"t":"`+strings.Repeat("x", 2<<10)+`"}`, nil) // a caller without Accept-Encoding
			So(code, ShouldEqual, 200)
			So(head.Get("Content-Encoding"), ShouldEqual, "")
			So(text, ShouldStartWith, `{"t":"xxx`)
		})
		Convey("end when the caller or the server stops", func() {
			cancelled, cancelCaller := context.WithCancel(ctx)
			cancelCaller()
			_, err := plain.Invoke(cancelled, client, addr, "n", message{"x"})
			So(err, ShouldNotBeNil)
			cancel()
			deadline := time.Now().Add(10 * time.Second)
			for err = nil; err == nil && time.Now().Before(deadline); {
				_, err = plain.Invoke(context.Background(), client, addr, "n", message{"x"})
			}
			So(err, ShouldNotBeNil)
		})
	})
}

// TestSlots checks that a call without a free slot is rejected with status 503 at once, and that the
// calls in progress complete.
func TestSlots(t *testing.T) {
	Convey("A call with a concurrency limit of two", t, func() {
		call := Declare[message, message]("POST", "/T.Slots", 1<<10, "tests").WithConcurrencyLimit(2)
		mux, started, release := http.NewServeMux(), make(chan struct{}, 9), make(chan struct{})
		call.Handle(mux, func(_ context.Context, _ RequestInfo, w message) (message, error) {
			started <- struct{}{}
			<-release
			return w, nil
		})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go Serve(ctx, ln, mux, 0)
		client := NewClient(time.Second)
		defer client.Close()
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := call.Invoke(ctx, client, ln.Addr().String(), "", message{"a"})
				results <- err
			}()
		}
		<-started
		<-started
		_, err = call.Invoke(ctx, client, ln.Addr().String(), "", message{"one too many"})
		var status *StatusError
		So(errors.As(err, &status), ShouldBeTrue)
		So(status.Status, ShouldEqual, 503)
		close(release)
		So(<-results, ShouldBeNil)
		So(<-results, ShouldBeNil)
	})
}
