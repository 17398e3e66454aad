package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/protocol"
)

// exchangingControl replies to each triggered report with the facts of a board, as the leader of term 1.
type exchangingControl struct {
	proxy *Proxy
	board *observation.Board
}

func (c exchangingControl) HasLeader() bool { return true }

func (c exchangingControl) TriggerReport() {
	now := c.proxy.opts.LeaseClock.Now()
	report := c.proxy.Report()
	c.proxy.HandleReply(now, report, protocol.ReportReply{Term: 1, FullReportRequired: true, Observed: c.board.Exchange(now, 1, report.Observed)})
}

// Guards against facts that wait for the next regular report, or for the leader's allowances.
func TestFactsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	var board observation.Board
	a, b := newFixture(t, 0), newFixture(t, 0)
	a.control, b.control = exchangingControl{a.Proxy, &board}, exchangingControl{b.Proxy, &board}
	a.observe(observation.Fact{Kind: "k", Subject: "x"}, time.Minute)
	is.Equal(board.Len(), 1)
	b.control.TriggerReport()
	is.Equal(b.observations.Len(), 1)
	is.Equal(len(a.Report().Observed.Facts)+len(b.Report().Observed.Facts), 0)
}
