package httpclient

// What an answer says.

import (
	"sort"
	"strconv"
	"strings"

	"saddleport/choice"
	"saddleport/internal/httpwire"
)

const (
	headID    = "X-Saddleport-Attempt-Id"
	headStamp = "X-Saddleport-Response-Signature"
	headNot   = "X-Saddleport-Not-Executed"
	headLoad  = "X-Saddleport-Instance-Load"
)

// judge tells what an answer to the request of an id is. Its value is what the server
// side passes on: of a part of a gathered answer the stamp, a line feed and the records;
// of any other the whole answer but for the end of its head.
//
// Only an answer that says so proves that a request did not run. A success counts only
// with its stamp, under the id of the request, and unencoded.
func judge(p *httpwire.Response, id string, gather bool) (choice.Verdict, string) {
	own := p.Header.Get(headID) == id
	if !own { // an answer that does not name the request says nothing of it, not even that it failed
		return choice.ServerError, ""
	}
	if p.Header.Get(headNot) != "" || p.Status == 421 {
		return choice.Rejected, ""
	}
	stamp := p.Header.Get(headStamp)
	if p.Status >= 200 && p.Status < 300 {
		if stamp == "" || p.Header.Get("Content-Encoding") != "" {
			return choice.ServerError, ""
		}
		if gather {
			return choice.Served, stamp + "\n" + string(p.Body)
		}
		return choice.Served, forward(p)
	}
	if gather {
		return choice.ServerError, ""
	}
	switch p.Status {
	case 408, 429, 503: // to the client these would promise that it did not run
		return choice.ServerError, ""
	}
	if p.Status >= 400 && p.Status < 500 {
		return choice.Served, forward(p) // the server's word on the request
	}
	return choice.ServerError, forward(p)
}

// Of one connection only, or told anew.
var dropped = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, headLoad: true}

// forward writes an answer for the client, up to where its head may be added to:
// "...\r\n" + "\r\n" + body.
func forward(p *httpwire.Response) string {
	var b strings.Builder
	b.Grow(len(p.Body) + 256)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(p.Status))
	b.WriteString(" ")
	b.WriteString(httpwire.StatusText(p.Status))
	b.WriteString("\r\n")
	names := make([]string, 0, len(p.Header))
	for name := range p.Header {
		if !dropped[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		for _, v := range p.Header[name] {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if p.Status != 204 && p.Status != 304 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(p.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(p.Body)
	return b.String()
}

// report reads a server's load: running, waiting, slots.
func report(s string) []choice.Reading {
	if s == "" {
		return nil
	}
	names := [3]string{"running", "waiting", "slots"}
	var load []choice.Reading
	for i, text := range strings.SplitN(s, ",", len(names)) {
		if v, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
			load = append(load, choice.Reading{Name: names[i], Value: v})
		}
	}
	return load
}
