package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/rpc"
)

// readHead passes on to the router what an upstream says about itself in the head of a response to an attempt.
func (g *Gateway) readHead(send *router.Send, status int, header http.Header) {
	notice := router.NoticeReceived{Endpoint: send.Endpoint, Incarnation: send.Incarnation, Leaving: header.Get(forward.LeavingHeader) == "1"}
	now := g.Clock.Now()
	var err error
	if status == http.StatusServiceUnavailable {
		notice.QuietFor, err = forward.QuietSpan(header, clock.System{}.Now()) // the time of day, for dates
	}
	if !notice.Leaving && notice.QuietFor == 0 && err == nil {
		return
	}
	notice.At = now
	g.mu.Lock()
	before := g.Router.Stats()
	g.step(&notice)
	after := g.Router.Stats()
	g.mu.Unlock()
	if after.Leaving == before.Leaving && after.Quiet == before.Quiet && err == nil {
		return
	}
	entry := g.Log.WithFields(logrus.Fields{"event": "notice", "upstream": send.Endpoint, "status": status, "leaving": notice.Leaving, "span": notice.QuietFor.String(),
		"request": send.ID})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("upstream wants no requests")
	if after.Leaving != before.Leaving {
		g.withdraw(send)
	}
}

// withdrawTimeout limits the time in which control is told that an upstream leaves. An upstream that leaves as planned
// tells it, too.
const withdrawTimeout = 30 * time.Second

// withdraw tells control in the background that the upstream of an attempt leaves, so that no VM sends to it.
func (g *Gateway) withdraw(send *router.Send) {
	u := &rpc.Upstream{Address: string(send.Endpoint), Incarnation: uint64(send.Incarnation), Leaving: true}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		if _, err := g.Control.Announce(context.Background(), g.Clock.Now().Add(withdrawTimeout), u); err != nil {
			g.Log.WithField("event", "notice").WithField("upstream", u.Address).WithError(err).Warn("could not tell control that the upstream leaves")
		}
	}()
}

// permitSend returns an error if an attempt must not be sent now. It is called right before the send.
func (g *Gateway) permitSend(c *call, send *router.Send) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.Router.Restricted(now, send.Endpoint, send.Incarnation) {
		return errors.Errorf("upstream %s is gone, leaves or asked for a pause", send.Endpoint)
	}
	g.step(&router.SendStarting{At: now, ID: send.ID, Attempt: send.Attempt})
	if c.lapsed {
		return errors.Errorf("the request's share of a limit ended before it was sent to %s", send.Endpoint)
	}
	return nil
}
