package httpclient

// This file evaluates the answers of servers.

import (
	"sort"
	"strconv"
	"strings"

	"saddleport/choice"
	"saddleport/internal/httpwire"
)

const (
	headerAttemptID   = "X-Saddleport-Attempt-Id"
	headerSignature   = "X-Saddleport-Response-Signature"
	headerNotExecuted = "X-Saddleport-Not-Executed"
	headerLoad        = "X-Saddleport-Instance-Load"
)

// evaluate returns the verdict on the answer to the request with the given id, and the value that
// the exchange passes to the downstream side. For a part of a fan-out query the value is the signature, a
// line feed and the records. For any other query it is the answer as forward writes it.
//
// A request counts as not run only if the answer states that: by headerNotExecuted or by status
// 421. An answer without the id of the request is a server error. A success counts only with a
// signature and without a content encoding.
func evaluate(p *httpwire.Response, id string, fanOut bool) (choice.Verdict, string) {
	matches := p.Header.Get(headerAttemptID) == id
	if !matches { // without the request's id the answer says nothing about the request, not even that it failed
		return choice.ServerError, ""
	}
	if p.Header.Get(headerNotExecuted) != "" || p.Status == 421 {
		return choice.Rejected, ""
	}
	signature := p.Header.Get(headerSignature)
	if p.Status >= 200 && p.Status < 300 {
		if signature == "" || p.Header.Get("Content-Encoding") != "" {
			return choice.ServerError, ""
		}
		if fanOut {
			return choice.Served, signature + "\n" + string(p.Body)
		}
		return choice.Served, forward(p)
	}
	if fanOut {
		return choice.ServerError, ""
	}
	switch p.Status {
	case 408, 429, 503: // forwarded to the client, these would promise that the request did not run
		return choice.ServerError, ""
	}
	if p.Status >= 400 && p.Status < 500 {
		return choice.Served, forward(p) // the server's final response to the request
	}
	return choice.ServerError, forward(p)
}

// notForwarded are the response headers that are not passed on: hop-by-hop headers, those that
// are set anew, and the load report.
var notForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, headerLoad: true}

// forward serializes an answer for the client: "...\r\n" + "\r\n" + body. The downstream side may
// add headers at the end of the head.
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
		if !notForwarded[name] {
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

// parseLoad parses the load report of a server: RUNNING,WAITING,SLOTS. Items that are not numbers
// are ignored.
func parseLoad(s string) []choice.Reading {
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
