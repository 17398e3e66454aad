package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/quarantine"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// observe records a fact that this VM learned from its traffic, and sends it to all other VMs. The caller must not hold
// p.mu.
func (p *Proxy) observe(fact observation.Fact, lifetime time.Duration) {
	p.observeAll([]observation.Fact{fact}, lifetime)
}

// observeAll is observe for several facts, after which the suspects are judged once.
func (p *Proxy) observeAll(facts []observation.Fact, lifetime time.Duration) {
	now, added := p.opts.LeaseClock.Now(), false
	p.mu.Lock()
	for _, fact := range facts {
		if p.observations.Add(now, fact, lifetime) {
			added = true
			p.handleObservation(observation.Observation{Fact: fact, Left: lifetime}, "")
		}
	}
	if added {
		p.judgeSuspects(now)
	}
	p.mu.Unlock()
	if added {
		p.control.TriggerReport()
	}
}

// applyObservations applies the facts of a leader's reply; p.mu is held.
func (p *Proxy) applyObservations(now time.Time, report protocol.Report, reply protocol.ReportReply) {
	for _, o := range p.observations.Apply(now, reply.Term, report.Observed, reply.Observed) {
		p.handleObservation(o, "leader")
	}
	if reply.Observed != nil && len(reply.Observed.Facts) > 0 {
		p.judgeSuspects(now)
	}
}

// handleObservation acts on a fact that is new to this VM, which learned it by itself or from a source; p.mu is held.
func (p *Proxy) handleObservation(o observation.Observation, source string) {
	p.opts.Log.Event(logrus.InfoLevel, "observed", logrus.Fields{"event": "observed", "kind": o.Kind, "subject": o.Subject, "upstream": o.Upstream,
		"born": o.StartedAt, "of": o.VM, "round": o.Round, "age": o.Age.String(), "left": o.Left.String(), "source": source}, "fact about the traffic learned")
	switch {
	case o.Kind == observation.Leaving:
		p.applyLeaving(o.Fact)
	case o.Kind == quarantine.Claim && o.VM == p.opts.VM.Name && source != "":
		f := quarantine.Fingerprint(o.Subject) // this VM claimed the round before it was started again, and may have used it
		p.suspects.usedRounds[f] = max(p.suspects.usedRounds[f], o.Round)
	}
}

// restoreFacts adds the facts that the registry keeps, once after the start; p.mu is held. Later ones come from the leader,
// with their age.
func (p *Proxy) restoreFacts(facts []registry.Fact) {
	if p.restored {
		return
	}
	p.restored = true
	now := p.opts.LeaseClock.Now()
	added := p.observations.Restore(now, facts)
	for _, o := range added {
		p.handleObservation(o, "log")
	}
	if len(added) > 0 {
		p.judgeSuspects(now)
	}
}
