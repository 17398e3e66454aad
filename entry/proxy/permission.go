package proxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/quarantine"
	"cuminfall.example/entry/throttle"
	"cuminfall.example/fleet/catalog"
)

// permissions are what a request took when its upstream was chosen. They may end while it waits for a connection or while
// the process is suspended, and are checked again right before the send.
type permissions struct {
	chosenAt     time.Time // by Options.Clock
	countedCold  bool      // counted at chosenAt against the limit of a cold upstream
	regionLeftAt time.Time // by Options.LeaseClock; zero if load did not move the request out of its region
	retryTakenAt time.Time // by Options.Clock; zero before the first retry
	lapsed       bool      // the attempt was withheld, and its upstream may be chosen again
	retryEnded   bool      // the retry budget no longer allows the attempt
}

// take counts a request that is sent to the chosen upstream; Proxy.mu is held.
func (t *permissions) take(c *call, now time.Time, query *balancer.Query, choice balancer.Choice) {
	p := c.proxy
	t.chosenAt, t.countedCold, t.regionLeftAt, t.lapsed = now, choice.UpstreamCold, time.Time{}, false
	p.sends.Add(query.LeaseNow, 1)
	if choice.OutOfRegion {
		p.outOfRegionSends.Add(query.LeaseNow, 1)
		if query.AllowOutOfRegion {
			t.regionLeftAt = query.LeaseNow
		}
	}
	if choice.UpstreamCold {
		p.coldLimiter.RecordSend(now, choice.Upstream.ID)
	}
}

// checkPermissions returns an error if the request must not be sent to the chosen upstream now. It is called right before
// the send and does not wait.
func (c *call) checkPermissions(choice balancer.Choice) error {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	query := c.newQuery(now, c.service)
	if r := p.balancer.RestrictionFor(query, choice.Upstream); r != balancer.Unrestricted {
		return errors.Errorf("upstream %s is %s", choice.Upstream.ID, r)
	}
	err := c.checkCatalog(p.table)
	if err == nil {
		err = c.checkQuarantine(query.LeaseNow)
	}
	if err == nil {
		err = c.renewLimits(now, query, choice)
	}
	c.permissions.lapsed = err != nil && !c.permissions.retryEnded
	return err
}

// checkCatalog returns an error if the newest catalog does not send the request to its service as it was admitted.
func (c *call) checkCatalog(table *catalog.Table) error {
	if table == c.table {
		return nil
	}
	next := call{proxy: c.proxy, r: c.r, caller: c.caller, route: table.Route(c.r.Host, c.r.URL.EscapedPath())}
	switch {
	case next.route == nil:
		return errors.Errorf("route %s was removed", c.route.Name)
	case next.route.Idempotent != c.route.Idempotent || !next.route.SendsTo(c.service):
		return errors.Errorf("route %s was changed", c.route.Name)
	case next.identifyWorkspace(table) != nil || next.workspace != c.workspace:
		return errors.Errorf("the key of workspace %q was withdrawn", c.workspace)
	case !slices.Equal(next.allowedRegions, c.allowedRegions):
		return errors.Errorf("the allowed regions of route %s were changed", c.route.Name)
	}
	return nil
}

// renewAdmission admits the request anew if the catalog has changed since it was admitted.
func (c *call) renewAdmission() *refusal {
	p := c.proxy
	p.mu.Lock()
	table := p.table
	p.mu.Unlock()
	if table == c.table {
		return nil
	}
	route := table.Route(c.r.Host, c.r.URL.EscapedPath())
	if route == nil {
		return &refusal{status: http.StatusNotFound, reason: unroutedReason}
	}
	next := call{proxy: p, r: c.r, caller: c.caller, route: route}
	if refused := next.identifyWorkspace(table); refused != nil {
		return refused
	}
	if next.workspace != c.workspace {
		c.refundRate()
	}
	c.table, c.catalogVersion, c.route = table, table.Catalog.Version, route
	c.workspace, c.allowedRegions, c.priority = next.workspace, next.allowedRegions, next.priority
	if c.service != "" && !route.SendsTo(c.service) {
		c.service = ""
	}
	return nil
}

// checkQuarantine returns an error if the quarantine has to decide again about the request; Proxy.mu is held.
func (c *call) checkQuarantine(leaseNow time.Time) error {
	table := &c.proxy.suspects.table
	if table.Empty() || c.suspicion.probe || !table.Suspects(c.requestHead()) {
		return nil
	}
	if f := c.suspicion.fingerprint; f != "" {
		if action := c.decide(leaseNow, f).Action; action == quarantine.Send || action == quarantine.Probe {
			return nil
		}
	}
	return errors.New("upstreams crashed while they had this request")
}

// renewLimits counts the request anew against the limits for which it was counted long ago, and against those that apply
// since then; Proxy.mu is held.
func (c *call) renewLimits(now time.Time, query *balancer.Query, choice balancer.Choice) error {
	p, t := c.proxy, &c.permissions
	if !t.regionLeftAt.IsZero() && query.LeaseNow.Sub(t.regionLeftAt) >= throttle.DemandWindow { // no longer counted
		if !query.AllowOutOfRegion {
			return errors.New("too many requests left their region")
		}
		p.sends.Add(query.LeaseNow, 1)
		p.outOfRegionSends.Add(query.LeaseNow, 1)
	}
	if upstream := choice.Upstream; now.Sub(t.chosenAt) > maxSendDelay && p.balancer.IsCold(now, query, upstream) {
		if t.countedCold {
			p.coldLimiter.Refund(t.chosenAt, upstream.ID)
		}
		if !query.AdmitsCold(upstream) {
			return errors.Errorf("cold upstream %s gets too many requests", upstream.ID)
		}
		p.coldLimiter.RecordSend(now, upstream.ID)
	}
	if !c.rateTakenAt.IsZero() && query.LeaseNow.Sub(c.rateTakenAt) > maxSendDelay {
		if !p.rateLimiter.Renew(query.LeaseNow, c.rateTakenAt, c.workspace) {
			c.rateTakenAt = time.Time{}
			return errors.Errorf("the allowance of workspace %q has ended", c.workspace)
		}
		c.rateTakenAt = query.LeaseNow
	}
	if !t.retryTakenAt.IsZero() && now.Sub(t.retryTakenAt) > maxSendDelay {
		if t.retryEnded = !p.retryBudget.Renew(now, t.retryTakenAt, c.service); t.retryEnded {
			return errors.Errorf("the retry budget of service %s is used up", c.service)
		}
		t.retryTakenAt = now
	}
	return nil
}
