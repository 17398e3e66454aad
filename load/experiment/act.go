package experiment

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// requestTimeout limits each request that an event sends.
const requestTimeout = 3 * time.Second

// sendAdmin sends a request to an admin endpoint and requires a 2xx status.
func (r *run) sendAdmin(method, target, body string) error {
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewBufferString(body))
	if err != nil {
		return fault.Wrap(err, fault.Usage, "act", target)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unreachable, "act", target)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fault.New(fault.Upstream, "act", target, "unexpected HTTP status %d, expected 2xx", response.StatusCode)
	}
	return nil
}

// sendToStandIns sends the same request to all processes with stand-ins.
func (r *run) sendToStandIns(method, path, body string) error {
	for _, address := range r.settings.Call.StandInAdmins {
		if err := r.sendAdmin(method, "http://"+address+path, body); err != nil {
			return err
		}
	}
	return nil
}

func setReportMode(body string) func(r *run) error {
	return func(r *run) error { return r.sendToStandIns(http.MethodPut, "/v1/report", body) }
}

// runHooks runs the hooks that the settings define for the experiment. It returns an error if there are none,
// since the event would then not happen.
func runHooks(r *run) error {
	found := false
	for _, h := range r.settings.Hooks {
		if h.Experiment != r.Name {
			continue
		}
		found = true
		if h.PostURL != "" {
			if err := r.sendAdmin(http.MethodPost, h.PostURL, ""); err != nil {
				return err
			}
			continue
		}
		p, err := os.FindProcess(h.PID)
		if err != nil {
			return fault.Wrap(err, fault.Usage, "find process", fmt.Sprint(h.PID))
		}
		if err := p.Kill(); err != nil {
			return fault.Wrap(err, fault.Usage, "end process", fmt.Sprint(h.PID))
		}
	}
	if !found {
		return fault.New(fault.Usage, "act", "", "hook: got none for experiment %s, expected at least one [[hook]]", r.Name)
	}
	return nil
}

// loseRegion stops all endpoints of the source region. On the path through the entry VMs it also runs the hooks,
// if there are any.
func loseRegion(r *run) error {
	for _, domain := range r.deployment.Domains() {
		if r.deployment.RegionOf(domain) != r.sourceRegion() {
			continue
		}
		if err := r.sendToStandIns(http.MethodPost, "/v1/kill?domain="+string(domain), ""); err != nil {
			return err
		}
	}
	for _, h := range r.settings.Hooks {
		if h.Experiment == r.Name && r.path == throughEntry {
			return runHooks(r)
		}
	}
	return nil
}

func (r *run) sourceRegion() ident.Region {
	if r.settings.SourceRegion != "" {
		return r.settings.SourceRegion
	}
	return r.deployment.Regions[0]
}

func (r *run) targetRegion() ident.Region {
	if r.settings.TargetRegion != "" {
		return r.settings.TargetRegion
	}
	return r.deployment.Regions[len(r.deployment.Regions)-1]
}

func (r *run) drainDomain() ident.Domain {
	if r.settings.DrainDomain != "" {
		return r.settings.DrainDomain
	}
	return r.deployment.Domains()[0]
}

// addDrain adds a drain of the failure domain to the document.
func addDrain(r *run) error {
	return r.editSection(document.DrainsSection, func(content document.Content) {
		d := content.(*document.Drains)
		d.Drains = append(d.Drains, document.Drain{Name: "experiment", Kind: document.DomainKind, Target: string(r.drainDomain())})
	})
}

// addShift empties the caches in the target region and adds a shift of half of the first service's traffic to
// that region.
func addShift(r *run) error {
	service := r.deployment.Services[0]
	for _, domain := range r.deployment.Domains() {
		if r.deployment.RegionOf(domain) != r.targetRegion() {
			continue
		}
		if err := r.sendToStandIns(http.MethodPost, fmt.Sprintf("/v1/cool?domain=%s&service=%s", domain, service.Name), ""); err != nil {
			return err
		}
	}
	return r.editSection(document.ShiftsSection, func(content document.Content) {
		d := content.(*document.Shifts)
		d.Shifts = append(d.Shifts, document.Shift{
			Name: "experiment", Service: service.Name, From: string(r.sourceRegion()), To: string(r.targetRegion()),
			Share: 0.5, Cap: ident.RequestRate(service.Capacity() / 4),
		})
	})
}

// editSection edits one section of the document, based on the revision that it reads. It tries the control members
// in turn until the leader accepts the change. All attempts have the same change ID, so that the change is applied
// once.
func (r *run) editSection(section document.Section, edit func(document.Content)) error {
	err := error(fault.New(fault.Usage, "change document", "", "control: got no addresses, expected those of the control members"))
	id := fmt.Sprintf("%s-%s", r.Name, r.idPrefix)
	for range 3 {
		for _, address := range r.settings.ControlAddresses {
			if err = r.editSectionAt(address, id, section, edit); err == nil {
				return nil
			}
		}
	}
	return err
}

func (r *run) editSectionAt(address, id string, section document.Section, edit func(document.Content)) error {
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	client := rpc.NewOperationsProtobufClient("http://"+address, r.client)
	shown, err := client.Show(ctx, &rpc.ShowRequest{Section: string(section)})
	if err != nil {
		return fault.Of(err)
	}
	var base uint64
	text := ""
	for _, s := range shown.Sections {
		if s.Name == string(section) {
			base, text = s.Revision, s.Text
		}
	}
	content, err := document.Parse(section, text)
	if err != nil {
		return err
	}
	edit(content)
	if text, err = document.Format(content); err != nil {
		return err
	}
	reply, err := client.Apply(ctx, &rpc.ApplyRequest{
		Section: string(section), Base: base, Id: id, Operator: string(r.settings.Operator), Credential: r.settings.Credential, Text: text,
	})
	if err != nil {
		return fault.Of(err)
	}
	if reply.State != rpc.ApplyState_APPLY_STATE_ACCEPTED {
		return fault.New(fault.Conflict, "change document", address, "%s: %s", reply.State, reply.Reason)
	}
	return nil
}
