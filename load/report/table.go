package report

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"cuminfall.example/fleet/fault"
)

// Print writes the report as JSON or as human-readable tables.
func (r *Report) Print(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return fault.Wrap(encoder.Encode(r), fault.Internal, "write report", "")
	}
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s through %s, seed %d, %s\n\n", r.Name, r.Path, r.Seed, r.Duration)
	fmt.Fprintln(t, "SERVICE\tOFFERED\tANSWERED\tREFUSED\tBROKEN\tCUT\tABORTED\tFOREIGN\tRESENT\tP50\tP99\tP99.9\tMAX")
	for i := range r.Services {
		r.Services[i].print(t)
	}
	r.Total.print(t)
	fmt.Fprintln(t, "\nWORKSPACE\tRATE\tBURST\tOFFERED\tENTITLED\tANSWERED\tREFUSED\tWRONGFUL\tSERVED")
	for _, s := range r.Workspaces {
		fmt.Fprintf(t, "%s\t%g\t%g\t%d\t%d\t%d\t%d\t%d\t%.4f\n",
			s.Workspace, s.Rate, s.Burst, s.Offered, s.Entitled, s.Answered, s.Refused, s.WrongfulRefusals, s.ServedFraction)
	}
	fmt.Fprintf(t, "\nworst served\t%s\t%.4f\n", r.WorstServed.Workspace, r.WorstServed.ServedFraction)
	fmt.Fprintf(t, "refused within rate\t%d\n", r.WrongfulRefusals)
	fmt.Fprintf(t, "sent late by the caller\t%d\n", r.SentLate)
	if r.Runs != nil {
		r.Runs.print(t)
	}
	for _, f := range r.Figures {
		fmt.Fprintf(t, "%s\t%.6g %s\t%s\n", f.Name, f.Value, f.Unit, f.Target)
	}
	for _, e := range r.Events {
		fmt.Fprintf(t, "at %s\t%s\n", e.At.Round(time.Millisecond), e.Description)
	}
	return fault.Wrap(t.Flush(), fault.Internal, "write report", "")
}

func (s *Service) print(w io.Writer) {
	codes := make([]string, 0, len(s.Refused))
	for code, n := range s.Refused {
		codes = append(codes, fmt.Sprintf("%s:%d", code, n))
	}
	sort.Strings(codes)
	refused := strings.Join(codes, ",")
	if refused == "" {
		refused = "0"
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", s.Service, s.Offered, s.Answered,
		refused, s.NoResponse, s.Truncated, s.Aborted, s.Mismatched, s.Retried, s.P50, s.P99, s.P999, s.Max)
}

func (r *Runs) print(w io.Writer) {
	fmt.Fprintf(w, "runs\t%d\n", r.Count)
	fmt.Fprintf(w, "double runs\t%d\t%s\n", len(r.DuplicateRuns), abbreviate(r.DuplicateRuns))
	fmt.Fprintf(w, "refused as not run, but ran\t%d\t%s\n", len(r.FalseRefusals), abbreviate(r.FalseRefusals))
	fmt.Fprintf(w, "runs for another workspace\t%d\t%s\n", len(r.WrongWorkspace), abbreviate(r.WrongWorkspace))
	fmt.Fprintf(w, "runs that saw a key\t%d\t%s\n", len(r.KeyLeaks), abbreviate(r.KeyLeaks))
	fmt.Fprintf(w, "arrivals over slots / refused connections\t%d / %d\n", r.OverSlots, r.OverConnections)
	for _, e := range r.RateExcesses {
		fmt.Fprintf(w, "workspace over its rate\t%s\tneeds burst %.1f of %g\n", e.Workspace, e.RequiredBurst, e.Burst)
	}
}

func abbreviate(list []string) string {
	if len(list) > 3 {
		return strings.Join(list[:3], " ") + " ..."
	}
	return strings.Join(list, " ")
}
