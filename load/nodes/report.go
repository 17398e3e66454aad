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

// Report holds the figures of one run.
type Report struct {
	Sessions   int       `json:"sessions"`
	Seconds    float64   `json:"seconds"`
	Registered float64   `json:"registered"` // seconds until all sessions had been answered
	Load       float64   `json:"load"`       // of the machine, over the last minute
	Own        float64   `json:"own"`        // CPU seconds of this process
	Sent       float64   `json:"sent"`       // bytes per session per second, towards control
	Received   float64   `json:"received"`   // bytes per session per second
	Exchanges  float64   `json:"exchanges"`  // per second, over all sessions
	Failed     int       `json:"failed"`     // exchanges
	Parts      parts     `json:"parts"`      // replies with each part
	Latency    Quantiles `json:"latency"`    // of exchanges
	Spread     Spread    `json:"spread"`
	Processes  []Process `json:"processes"`
	Members    []Member  `json:"members"`
}

// Spread says how long changes took from their send.
type Spread struct {
	Changes int       `json:"changes"`
	Missing int       `json:"missing"` // changes that some session never had
	Each    Quantiles `json:"each"`    // until one session had a change
	All     Quantiles `json:"all"`     // until all sessions had it
}

// Quantiles are the usual points of a distribution.
type Quantiles struct {
	P50  command.TextDuration `json:"p50"`
	P99  command.TextDuration `json:"p99"`
	Most command.TextDuration `json:"most"`
}

// Process is what one process used during the measurement.
type Process struct {
	ID       string  `json:"id"`
	CPU      float64 `json:"cpu"`      // seconds
	Cores    float64 `json:"cores"`    // CPU seconds per second
	Resident int64   `json:"resident"` // bytes at the end
	Peak     int64   `json:"peak"`     // bytes, since the process began
	Written  int64   `json:"written"`  // bytes handed to storage
}

// Member is what one control member counted during the measurement.
type Member struct {
	Admin   string  `json:"admin"`
	Syncs   int64   `json:"syncs"`   // of the disk
	Entries int64   `json:"entries"` // of the log that were synced
	Plans   int64   `json:"plans"`
	Plan    float64 `json:"plan"`   // mean milliseconds of a plan, since the member began
	Allots  int64   `json:"allots"` // changes of shares proposed
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: command.TextDuration{Duration: report.Quantile(h, 50)}, P99: command.TextDuration{Duration: report.Quantile(h, 99)},
		Most: command.TextDuration{Duration: time.Duration(h.Max()) * time.Microsecond},
	}
}

// print writes the figures as tables for people.
func (r *Report) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintf(t, "sessions\t%d\tfor %.1f s\n", r.Sessions, r.Seconds)
	fmt.Fprintf(t, "all registered after\t%.2f s\n", r.Registered)
	fmt.Fprintf(t, "sent / received per session\t%.0f / %.0f\tB/s\n", r.Sent, r.Received)
	fmt.Fprintf(t, "exchanges\t%.0f /s\t%d failed\n", r.Exchanges, r.Failed)
	fmt.Fprintf(t, "latency p50 / p99 / most\t%s / %s / %s\n", r.Latency.P50, r.Latency.P99, r.Latency.Most)
	fmt.Fprintf(t, "replies with config / registry / members / allotments\t%d / %d / %d / %d\n",
		r.Parts.Config, r.Parts.Registry, r.Parts.Members, r.Parts.Allotments)
	if r.Spread.Changes > 0 {
		fmt.Fprintf(t, "changes\t%d\t%d not everywhere\n", r.Spread.Changes, r.Spread.Missing)
		fmt.Fprintf(t, "change at one session p50 / p99 / most\t%s / %s / %s\n", r.Spread.Each.P50, r.Spread.Each.P99, r.Spread.Each.Most)
		fmt.Fprintf(t, "change at all sessions p50 / p99 / most\t%s / %s / %s\n", r.Spread.All.P50, r.Spread.All.P99, r.Spread.All.Most)
	}
	for _, p := range r.Processes {
		fmt.Fprintf(t, "process %s\t%.2f CPU s, %.3f cores\t%.1f MB resident, %.1f MB peak, %d B written\n",
			p.ID, p.CPU, p.Cores, float64(p.Resident)/1e6, float64(p.Peak)/1e6, p.Written)
	}
	for _, m := range r.Members {
		fmt.Fprintf(t, "member %s\t%d disk syncs, %d entries\t%d plans, mean %.2f ms, %d allots\n", m.Admin, m.Syncs, m.Entries, m.Plans, m.Plan, m.Allots)
	}
	fmt.Fprintf(t, "this process\t%.2f CPU s\tmachine load %.1f\n", r.Own, r.Load)
	return fault.Wrap(t.Flush(), fault.Internal, "write report", "")
}
