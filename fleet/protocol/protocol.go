package protocol

import (
	"encoding/json"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// HTTP paths of the messages at the internal address of each control member.
const (
	FollowPath   = "/cuminfall/v1/follow"
	ReportPath   = "/cuminfall/v1/report"
	ProposePath  = "/cuminfall/v1/propose"
	ReadPath     = "/cuminfall/v1/read"
	LastSeenPath = "/cuminfall/v1/seen"
)

// FollowRequest asks a member for the log entries after Index. If there are none, the member waits for one for up to
// Wait before it replies.
type FollowRequest struct {
	Index      ident.Index   `json:"index"`
	Wait       time.Duration `json:"wait"`
	StatusOnly bool          `json:"probe,omitempty"`     // reply at once, without state and entries
	Committed  bool          `json:"committed,omitempty"` // only the leader may answer, once it has applied all that is committed
}

// LogEntry is an encoded registry command with its position in the log.
type LogEntry struct {
	Index   ident.Index     `json:"index"`
	Command json.RawMessage `json:"command"`
}

// FollowReply brings the requester's copy of the registry up to Index. It holds Entries to apply, or State to replace
// the copy if the member no longer has the entries or if the state is shorter.
type FollowReply struct {
	Index    ident.Index     `json:"index"`
	State    json.RawMessage `json:"state,omitempty"`
	Entries  []LogEntry      `json:"entries,omitempty"`
	Members  []ident.Address `json:"members,omitempty"` // internal addresses of the control group
	Leader   ident.Address   `json:"leader,omitempty"`
	Isolated bool            `json:"cut,omitempty"` // the member has no contact with a majority
	// CatchingUp means that Index is below what was committed when the member regained contact with a leader, or that
	// the member does not know yet.
	CatchingUp bool `json:"behind,omitempty"`
}

// RateUsage is an entry VM's use of its allowance of a workspace's rate, in requests.
type RateUsage struct {
	Allowance     int `json:"held"`  // present allowance, or Used if an earlier allowance was larger
	Used          int `json:"used"`  // requests admitted within the window
	UnmetRequests int `json:"short"` // requests since the last report for which the allowance was used up
}

// RateJitter is the maximum difference between the delays of two requests from their admission at a VM to their
// arrival at an upstream. Admitted requests count for RateJitter longer than the window of a rate, so that upstreams
// don't receive more than the rate allows within any window.
const RateJitter = 300 * time.Millisecond

// RateUsageByWorkspace is an entry VM's use of the workspaces' rates.
type RateUsageByWorkspace map[ident.Workspace]RateUsage

// Allowances are the numbers of requests that a VM may admit within any window, by workspace.
type Allowances map[ident.Workspace]int

// RegionWeights are the fractions of one region's requests that each region should serve; they add up to 1.
type RegionWeights map[ident.Region]float64

// RegionWeightsByService are the weights for the requests of one region, by service.
type RegionWeightsByService map[ident.Service]RegionWeights

// ObjectRequests are numbers of requests, by service and object.
type ObjectRequests map[ident.Service]map[object.ID]int

// Demand describes the requests of an entry VM's callers.
type Demand struct {
	BusySlots      map[ident.Service]float64 `json:"busy,omitempty"`  // mean number of slots in use by callers' requests
	ObjectRequests ObjectRequests            `json:"asked,omitempty"` // since the last report that got a reply
}

// Assignments are the upstreams that serve objects, by service and object. An empty list means the upstream with the
// highest score for the object.
type Assignments map[ident.Service]map[object.ID][]registry.UpstreamID

// Loads are the numbers of requests that were sent to upstreams and not answered yet.
type Loads map[registry.UpstreamID]int

// Utilization is the fraction of the slots that are in use, by service and region.
type Utilization map[ident.Service]map[ident.Region]float64

// Report is a periodic report of an entry VM to the leader of the control group.
type Report struct {
	VM              registry.VM          `json:"vm"`
	Sequence        uint64               `json:"sequence"`        // number of the report, counted from the start of the VM
	AppliedSequence uint64               `json:"seen"`            // number of the latest report whose reply this VM applied
	AppliedTerm     ident.Term           `json:"term"`            // term of the leader that sent this reply
	Echo            *uint64              `json:"echo,omitempty"`  // serial of the latest reply of that leader, 0 if there was none; nil in reports of earlier builds
	Full            bool                 `json:"whole,omitempty"` // values that the report omits are zero; otherwise they are as last reported
	RecentlyStarted bool                 `json:"fresh,omitempty"` // an earlier run of this VM may have admitted requests within the window
	RateUsage       RateUsageByWorkspace `json:"rates,omitempty"`

	Demand
	Pinned        map[ident.Region]Demand         `json:"tied,omitempty"`   // further demand that only one region may serve, by that region
	ServiceTimes  map[ident.Service]time.Duration `json:"work,omitempty"`   // time for which a request occupies a slot if the upstream served its object before
	InFlight      Loads                           `json:"sent,omitempty"`   // requests that this VM sent
	RegionWeights RegionWeightsByService          `json:"flows,omitempty"`  // weights that this VM uses; only in full reports
	Assignments   Assignments                     `json:"places,omitempty"` // assignments that this VM uses; only in full reports

	Observed *observation.Report `json:"observed,omitempty"` // what this VM learned from its traffic
}

// ReportReply renews the lease of all allowances and carries the values that changed.
type ReportReply struct {
	Term               ident.Term             `json:"term"`
	Serial             uint64                 `json:"serial,omitempty"` // counts the leader's replies in the term
	FullReportRequired bool                   `json:"again,omitempty"`  // the leader has no state of this VM and needs a full report
	Allowances         Allowances             `json:"allow,omitempty"`
	Lease              time.Duration          `json:"lease"`            // from the time at which the VM sent its report
	VMCount            int                    `json:"vms"`              // number of entry VMs that share the rates
	RegionWeights      RegionWeightsByService `json:"flows,omitempty"`  // those that changed
	Assignments        Assignments            `json:"places,omitempty"` // those that changed
	Saturated          Loads                  `json:"full,omitempty"`   // loads by all VMs, of upstreams whose slots are all in use
	Utilization        Utilization            `json:"uses,omitempty"`
	Observed           *observation.Reply     `json:"observed,omitempty"` // what other VMs learned from their traffic
}

// ProposeReply is the outcome of a command that a member forwarded to the leader, and its position in the log.
type ProposeReply struct {
	Index  ident.Index     `json:"index"`
	Result registry.Result `json:"result"`
}

// LastSeen is the time since each upstream last announced itself to a member.
type LastSeen map[registry.UpstreamID]time.Duration
