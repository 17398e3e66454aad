package protocol

import (
	"encoding/json"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/registry"
)

// Paths of the exchanges, on every control member's internal address.
const (
	FollowPath   = "/cuminfall/v1/follow"
	ReportPath   = "/cuminfall/v1/report"
	ProposePath  = "/cuminfall/v1/propose"
	ReadPath     = "/cuminfall/v1/read"
	LastSeenPath = "/cuminfall/v1/seen"
)

// FollowRequest asks a member for what came after an index; the answer may wait.
type FollowRequest struct {
	Index      ident.Index   `json:"index"`
	Wait       time.Duration `json:"wait"`
	StatusOnly bool          `json:"probe,omitempty"` // only how far the member and its group are
}

// LogEntry is a command with its place in the log.
type LogEntry struct {
	Index   ident.Index     `json:"index"`
	Command json.RawMessage `json:"command"`
}

// FollowReply continues the register of the asker. State replaces it where the commands are no longer kept.
type FollowReply struct {
	Index    ident.Index     `json:"index"`
	State    json.RawMessage `json:"state,omitempty"`
	Entries  []LogEntry      `json:"entries,omitempty"`
	Members  []ident.Address `json:"members,omitempty"` // internal addresses of the control group
	Leader   ident.Address   `json:"leader,omitempty"`
	Isolated bool            `json:"cut,omitempty"` // this member has no contact with a majority
}

// RateUsage is how far an entry VM has used its allowance of a workspace's rate.
type RateUsage struct {
	Allowance     int `json:"held"`  // the allowance, or what was used of a larger one within the window
	Used          int `json:"used"`  // requests let through within the window
	UnmetRequests int `json:"short"` // requests that found nothing left since the report before
}

// RateJitter is by how much the times apart at which two requests pass at a VM and reach their upstreams may differ.
// What passed counts so much longer than the window, so that upstreams see no more within any window either.
const RateJitter = 300 * time.Millisecond

// RateUsageByWorkspace are the rates that an entry VM's callers use, by workspace.
type RateUsageByWorkspace map[ident.Workspace]RateUsage

// Allowances are the requests of workspaces that a VM may let through within any window.
type Allowances map[ident.Workspace]int

// RegionWeights is where the requests of one region should go: a part for each region, 1 in all.
type RegionWeights map[ident.Region]float64

// RegionWeightsByService are the flows of one region by service.
type RegionWeightsByService map[ident.Service]RegionWeights

// ObjectRequests counts requests for objects, by service.
type ObjectRequests map[ident.Service]map[object.ID]int

// Demand is what callers ask for.
type Demand struct {
	BusySlots      map[ident.Service]float64 `json:"busy,omitempty"`  // slots that the callers keep busy
	ObjectRequests ObjectRequests            `json:"asked,omitempty"` // since the last report that was answered
}

// Assignments are the upstreams to which objects belong, by service. An empty list means the first of the object's order.
type Assignments map[ident.Service]map[object.ID][]registry.UpstreamID

// Loads are requests at upstreams that were sent and not answered yet.
type Loads map[registry.UpstreamID]int

// Utilization are the parts of the slots in use, by service and region.
type Utilization map[ident.Service]map[ident.Region]float64

// Report is an entry VM's word to the leader.
type Report struct {
	VM              registry.VM          `json:"vm"`
	Sequence        uint64               `json:"sequence"`        // of this run's reports
	AppliedSequence uint64               `json:"seen"`            // the newest report whose answer is in force
	AppliedTerm     ident.Term           `json:"term"`            // of the leader that gave it
	Full            bool                 `json:"whole,omitempty"` // what is not mentioned is zero, and not as reported before
	RecentlyStarted bool                 `json:"fresh,omitempty"` // this run began within the last window, and another may have ended
	RateUsage       RateUsageByWorkspace `json:"rates,omitempty"`

	Demand
	Pinned        map[ident.Region]Demand         `json:"tied,omitempty"`   // beside Demand, what one region alone may serve
	ServiceTimes  map[ident.Service]time.Duration `json:"work,omitempty"`   // for which a request for a known object keeps a slot busy
	InFlight      Loads                           `json:"sent,omitempty"`   // by this VM
	RegionWeights RegionWeightsByService          `json:"flows,omitempty"`  // that this VM follows, in whole reports
	Assignments   Assignments                     `json:"places,omitempty"` // the same
}

// ReportReply renews the lease of all allowances and changes some.
type ReportReply struct {
	Term               ident.Term             `json:"term"`
	FullReportRequired bool                   `json:"again,omitempty"` // the leader does not know this VM and needs a whole report
	Allowances         Allowances             `json:"allow,omitempty"`
	Lease              time.Duration          `json:"lease"`
	VMCount            int                    `json:"vms"`              // entry VMs that share the rates
	RegionWeights      RegionWeightsByService `json:"flows,omitempty"`  // those that changed
	Assignments        Assignments            `json:"places,omitempty"` // those that changed
	Saturated          Loads                  `json:"full,omitempty"`   // of all VMs together, at upstreams whose slots are all in use
	Utilization        Utilization            `json:"uses,omitempty"`
}

// ProposeReply is the outcome of a forwarded command.
type ProposeReply struct {
	Index  ident.Index     `json:"index"`
	Result registry.Result `json:"result"`
}

// LastSeen carries how long ago a member heard of upstreams.
type LastSeen map[registry.UpstreamID]time.Duration
