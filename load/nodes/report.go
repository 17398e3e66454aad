package nodes

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/command"
	"cuminfall.example/load/report"
)

// Report holds the figures of one run of load nodes.
type Report struct {
	Sessions            int         `json:"sessions"`
	Seconds             float64     `json:"seconds"`
	RegistrationSeconds float64     `json:"registered"` // seconds until all sessions had their first reply
	HostLoad            float64     `json:"load"`       // load average of the host over the last minute
	OwnCPU              float64     `json:"own"`        // CPU seconds of the process that simulates the sessions
	Sent                float64     `json:"sent"`       // bytes per session per second, to control members
	Received            float64     `json:"received"`   // bytes per session per second, from control members
	Exchanges           float64     `json:"exchanges"`  // syncs per second, over all sessions
	Failed              int         `json:"failed"`     // failed syncs
	Parts               replyParts  `json:"parts"`      // number of replies that contain each part
	Latency             Quantiles   `json:"latency"`    // latency of syncs
	Propagation         Propagation `json:"spread"`
	Processes           []Process   `json:"processes"`
	Members             []Member    `json:"members"`
}

// Propagation summarizes how long changes took from their send until the sessions received them.
type Propagation struct {
	Changes     int       `json:"changes"`
	Missing     int       `json:"missing"` // changes that at least one session did not receive
	OneSession  Quantiles `json:"each"`    // time until a session received a change, over all sessions
	AllSessions Quantiles `json:"all"`     // time until the last session received a change
}

// Quantiles holds the median, the 99th percentile and the maximum of a distribution.
type Quantiles struct {
	P50 command.TextDuration `json:"p50"`
	P99 command.TextDuration `json:"p99"`
	Max command.TextDuration `json:"most"`
}

// Process holds the resources that a process used during the measurement.
type Process struct {
	ID       string  `json:"id"`
	CPU      float64 `json:"cpu"`      // seconds
	Cores    float64 `json:"cores"`    // CPU seconds per second
	Resident int64   `json:"resident"` // bytes at the end
	Peak     int64   `json:"peak"`     // maximum resident bytes since the process started
	Written  int64   `json:"written"`  // bytes written to storage
}

// Member holds the changes of a control member's metrics during the measurement.
type Member struct {
	Admin            string  `json:"admin"`
	DiskSyncs        int64   `json:"syncs"`   // syncs of the log to disk
	SyncedEntries    int64   `json:"entries"` // log entries that were synced
	Plans            int64   `json:"plans"`
	PlanMilliseconds float64 `json:"plan"`   // mean duration of a plan since the member started
	ShareChanges     int64   `json:"allots"` // proposed changes of shares
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: command.TextDuration{Duration: report.Quantile(h, 50)}, P99: command.TextDuration{Duration: report.Quantile(h, 99)},
		Max: command.TextDuration{Duration: time.Duration(h.Max()) * time.Microsecond},
	}
}

// print writes the report as human-readable tables.
func (r *Report) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintf(t, "sessions\t%d\tfor %.1f s\n", r.Sessions, r.Seconds)
	fmt.Fprintf(t, "all registered after\t%.2f s\n", r.RegistrationSeconds)
	fmt.Fprintf(t, "sent / received per session\t%.0f / %.0f\tB/s\n", r.Sent, r.Received)
	fmt.Fprintf(t, "exchanges\t%.0f /s\t%d failed\n", r.Exchanges, r.Failed)
	fmt.Fprintf(t, "latency p50 / p99 / max\t%s / %s / %s\n", r.Latency.P50, r.Latency.P99, r.Latency.Max)
	fmt.Fprintf(t, "replies with config / registry / members / allotments\t%d / %d / %d / %d\n",
		r.Parts.Config, r.Parts.Registry, r.Parts.Members, r.Parts.Allotments)
	if r.Propagation.Changes > 0 {
		fmt.Fprintf(t, "changes\t%d\t%d not everywhere\n", r.Propagation.Changes, r.Propagation.Missing)
		fmt.Fprintf(t, "change at one session p50 / p99 / max\t%s / %s / %s\n", r.Propagation.OneSession.P50, r.Propagation.OneSession.P99, r.Propagation.OneSession.Max)
		fmt.Fprintf(t, "change at all sessions p50 / p99 / max\t%s / %s / %s\n", r.Propagation.AllSessions.P50, r.Propagation.AllSessions.P99, r.Propagation.AllSessions.Max)
	}
	for _, p := range r.Processes {
		fmt.Fprintf(t, "process %s\t%.2f CPU s, %.3f cores\t%.1f MB resident, %.1f MB peak, %d B written\n",
			p.ID, p.CPU, p.Cores, float64(p.Resident)/1e6, float64(p.Peak)/1e6, p.Written)
	}
	for _, m := range r.Members {
		fmt.Fprintf(t, "member %s\t%d disk syncs, %d entries\t%d plans, mean %.2f ms, %d allots\n", m.Admin, m.DiskSyncs, m.SyncedEntries, m.Plans, m.PlanMilliseconds, m.ShareChanges)
	}
	fmt.Fprintf(t, "this process\t%.2f CPU s\thost load average %.1f\n", r.OwnCPU, r.HostLoad)
	return fault.Wrap(t.Flush(), fault.Internal, "write report", "")
}
