package proxy

import (
	"net"
	"time"

	"saddleport/internal/node/events"
)

const (
	notReadyPeriod = 2500 * time.Millisecond // by then the platform has noticed that this proxy is not ready
	rejectAfter    = 2800 * time.Millisecond // after that a new request might not be finished within the grace period
	graceDivisor   = 2                       // both are at most 1/graceDivisor of the grace period
	graceEndMargin = 700 * time.Millisecond  // requests that are in progress this long before the end of the grace period are expired
	answerMargin   = 200 * time.Millisecond  // for the last responses to be written
	idleCloseDelay = 100 * time.Millisecond  // for a request that is already under way on an idle connection
	quietPeriod    = 300 * time.Millisecond  // if no request comes for this long, no more are expected
	pollInterval   = 20 * time.Millisecond
)

// shutDown drains the proxy. It serves as before until the platform sends no more clients, then closes each
// connection after a response, then rejects new requests. Requests that are still in progress graceEndMargin
// before the end of the grace period are answered as if they had timed out.
func (p *proxy) shutDown(clientListener net.Listener, grace time.Duration) {
	begin := time.Now()
	deadline := begin.Add(grace - graceEndMargin)
	events.Stopping.Log("open", p.exchange.Open())
	p.downstream.MarkNotReady()
	sleepUntil(begin.Add(min(notReadyPeriod, grace/graceDivisor)))
	p.downstream.CloseAfterResponses()
	rejectAt := begin.Add(min(rejectAfter, grace/graceDivisor))
	for time.Now().Before(deadline) && (p.exchange.Open() > 0 || !p.downstream.QuietFor(quietPeriod)) {
		if time.Now().After(rejectAt) {
			p.downstream.RejectRequests()
		}
		p.downstream.CloseIdle(idleCloseDelay)
		time.Sleep(pollInterval)
	}
	p.downstream.RejectRequests()
	clientListener.Close()
	p.endRemaining(deadline)
}

// endRemaining waits for the last connections to end. At the deadline it expires the requests in progress,
// and answerMargin later it returns.
func (p *proxy) endRemaining(deadline time.Time) {
	for expired := false; p.downstream.Clients() > 0 && time.Now().Before(deadline.Add(answerMargin)); {
		if !expired && !time.Now().Before(deadline) {
			expired = true
			events.GraceExpired.Log("open", p.exchange.Open())
			p.downstream.ExpireRequests()
		}
		p.downstream.CloseIdle(idleCloseDelay)
		time.Sleep(pollInterval)
	}
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
