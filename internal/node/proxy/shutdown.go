package proxy

import (
	"net"
	"time"

	"saddleport/internal/node/events"
)

const (
	readyDrainTime = 2500 * time.Millisecond // until the platform has seen that this proxy is not ready
	refuseAfter    = 2800 * time.Millisecond // from then on a request might not be finished within the grace
	graceShare     = 2                       // both within one part in so many of the grace
	graceEndMargin = 700 * time.Millisecond  // before the grace is over
	answerMargin   = 200 * time.Millisecond  // for the last answers to be written
	idleCloseDelay = 100 * time.Millisecond  // for a request that is under way on an idle connection
	quietPeriod    = 300 * time.Millisecond  // without a request, after which nobody is taken to come
	pollInterval   = 20 * time.Millisecond
)

// shutDown ends the proxy in order: it serves until the platform sends no clients any more,
// then each answer closes its connection, then requests are rejected, and those still in
// progress shortly before the grace period is over are answered as if they had timed out.
func (t *proxy) shutDown(ln net.Listener, grace time.Duration) {
	begun := time.Now()
	over := begun.Add(grace - graceEndMargin)
	events.Stopping.Log("open", t.exchange.Open())
	t.downstream.MarkNotReady()
	sleepUntil(begun.Add(min(readyDrainTime, grace/graceShare)))
	t.downstream.CloseAfterResponses()
	refuseAt := begun.Add(min(refuseAfter, grace/graceShare))
	for time.Now().Before(over) && (t.exchange.Open() > 0 || !t.downstream.QuietFor(quietPeriod)) {
		if time.Now().After(refuseAt) {
			t.downstream.RejectRequests()
		}
		t.downstream.CloseIdle(idleCloseDelay)
		time.Sleep(pollInterval)
	}
	t.downstream.RejectRequests()
	ln.Close()
	t.endRemaining(over)
}

// endRemaining waits for the last connections, and ends those that last too long.
func (t *proxy) endRemaining(over time.Time) {
	for cut := false; t.downstream.Clients() > 0 && time.Now().Before(over.Add(answerMargin)); {
		if !cut && !time.Now().Before(over) {
			cut = true
			events.GraceExpired.Log("open", t.exchange.Open())
			t.downstream.ExpireRequests()
		}
		t.downstream.CloseIdle(idleCloseDelay)
		time.Sleep(pollInterval)
	}
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
