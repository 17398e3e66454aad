package observation

import (
	"slices"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

const (
	// maxFacts limits the facts that a VM or the leader keeps. Beyond it, those that are alone about their subject are
	// dropped, and of these the one that was received first.
	maxFacts = 4096
	// maxReportFacts limits the facts in one report; the newest ones are sent first.
	maxReportFacts = 256
	// maxReplyFacts limits the facts in one reply. A full board takes four replies, 190 KB after compression.
	maxReplyFacts = 1024
	// maxLifetime limits how long any fact is kept.
	maxLifetime = time.Hour
	// maxSubjectBytes limits a fact's subject.
	maxSubjectBytes = 128
)

// Kind says what a fact is about.
type Kind = registry.FactKind

// Fact is something that a VM learned from its traffic.
type Fact = registry.Fact

// Observation is a fact with its age, as it is sent.
type Observation struct {
	Fact
	Age  time.Duration `json:"age"`  // since a VM learned it
	Left time.Duration `json:"left"` // until it expires
	// Restored says that the sender has the fact from Restore, so that it may expire too late.
	Restored bool `json:"restored,omitempty"`
}

// Report is the part of a VM's report that concerns facts.
type Report struct {
	Term    ident.Term    `json:"term,omitempty"`  // of the leader that Applied refers to
	Applied uint64        `json:"seen,omitempty"`  // serial number up to which this VM has the leader's facts
	Facts   []Observation `json:"facts,omitempty"` // that the leader of Term may lack
}

// Reply is the part of the leader's reply that concerns facts.
type Reply struct {
	Applied uint64        `json:"seen,omitempty"`  // serial number up to which the VM has the leader's facts after this reply
	Facts   []Observation `json:"facts,omitempty"` // that the VM may lack
	More    bool          `json:"more,omitempty"`  // there are further facts for the next reply
}

// record is a fact as it is kept.
type record struct {
	fact                 Fact
	learnedAt, expiresAt time.Time
	serial               uint64 // in the order of receipt, from 1
	confirmed            bool   // the leader of the present term has it
	restored             bool   // it is among those that outlived a loss of VMs
	leaderOrder          uint64 // position among the facts that the leader of the present term sent, from 1; 0 if it has not
}

// observation returns the record as it is sent at now.
func (r *record) observation(now time.Time) Observation {
	return Observation{Fact: r.fact, Age: now.Sub(r.learnedAt).Truncate(time.Millisecond), Left: r.expiresAt.Sub(now).Truncate(time.Millisecond), Restored: r.restored}
}

// topic is what facts are about.
type topic struct {
	kind    Kind
	subject string
}

func topicOf(f Fact) topic { return topic{f.Kind, f.Subject} }

// records are facts in the order of receipt. The zero value is empty.
type records struct {
	byFact     map[Fact]*record
	onTopic    map[topic]int // number of facts
	order      []*record
	lastSerial uint64
	nextExpiry time.Time // no fact expires before
}

// add keeps a fact and returns its record, and whether it is new. If the fact is known, the earlier time at which it was
// learned counts: an age grows by the transit time of each message, so the later one is less exact. Of a fact that was
// restored the earlier expiry counts too: a VM that did not lose it knows how old it is.
func (s *records) add(now time.Time, o Observation) (r *record, added bool) {
	if o.Kind == "" || len(o.Subject) > maxSubjectBytes || o.Left <= 0 {
		return nil, false
	}
	s.expire(now)
	learnedAt := now.Add(-max(o.Age, 0))
	if r = s.byFact[o.Fact]; r != nil {
		if learnedAt.Before(r.learnedAt) {
			r.learnedAt = learnedAt
		}
		if expiresAt := now.Add(o.Left); r.restored && expiresAt.Before(r.expiresAt) {
			r.expiresAt = expiresAt
			if expiresAt.Before(s.nextExpiry) {
				s.nextExpiry = expiresAt
			}
		}
		return r, false
	}
	if s.byFact == nil {
		s.byFact, s.onTopic = map[Fact]*record{}, map[topic]int{}
	}
	s.lastSerial++
	r = &record{fact: o.Fact, learnedAt: learnedAt, expiresAt: now.Add(min(o.Left, maxLifetime)), serial: s.lastSerial}
	if len(s.order) == 0 || r.expiresAt.Before(s.nextExpiry) {
		s.nextExpiry = r.expiresAt
	}
	s.byFact[o.Fact] = r
	s.onTopic[topicOf(o.Fact)]++
	s.order = append(s.order, r)
	if len(s.order) > maxFacts {
		s.drop()
	}
	return r, true
}

// drop removes one fact. Facts that repeat about a subject are what VMs act on, so it removes one that is alone, if any.
func (s *records) drop() {
	i := max(slices.IndexFunc(s.order, func(r *record) bool { return s.onTopic[topicOf(r.fact)] == 1 }), 0)
	s.forget(s.order[i].fact)
	s.order = slices.Delete(s.order, i, i+1)
}

// forget removes a fact from the maps.
func (s *records) forget(f Fact) {
	delete(s.byFact, f)
	if s.onTopic[topicOf(f)]--; s.onTopic[topicOf(f)] == 0 {
		delete(s.onTopic, topicOf(f))
	}
}

// expire removes the facts that have expired.
func (s *records) expire(now time.Time) {
	if len(s.order) == 0 || now.Before(s.nextExpiry) {
		return
	}
	kept := make([]*record, 0, len(s.order))
	for _, r := range s.order {
		if !now.Before(r.expiresAt) {
			s.forget(r.fact)
			continue
		}
		if len(kept) == 0 || r.expiresAt.Before(s.nextExpiry) {
			s.nextExpiry = r.expiresAt
		}
		kept = append(kept, r)
	}
	s.order = kept
}
