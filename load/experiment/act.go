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

// actWait bounds one exchange of an event.
const actWait = 3 * time.Second

// send makes one request to an admin endpoint.
func (r *run) send(method, target, body string) error {
	ctx, cancel := context.WithTimeout(r.ctx, actWait)
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
		return fault.New(fault.Upstream, "act", target, "status %d", response.StatusCode)
	}
	return nil
}

// stands sends the same request to all processes with stand-ins.
func (r *run) stands(method, path, body string) error {
	for _, address := range r.set.Call.Upstreams {
		if err := r.send(method, "http://"+address+path, body); err != nil {
			return err
		}
	}
	return nil
}

func reporting(body string) func(r *run) error {
	return func(r *run) error { return r.stands(http.MethodPut, "/v1/report", body) }
}

// hook performs the hooks that the settings have for the experiment.
func hook(r *run) error {
	done := false
	for _, h := range r.set.Hooks {
		if h.Experiment != r.Name {
			continue
		}
		done = true
		if h.Post != "" {
			if err := r.send(http.MethodPost, h.Post, ""); err != nil {
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
	if !done {
		return fault.New(fault.Usage, "act", "", "the settings have no [[hook]] for experiment %s", r.Name)
	}
	return nil
}

// loseRegion ends the endpoints of the region, and performs the hooks if there are any.
func loseRegion(r *run) error {
	for _, domain := range r.shape.Domains() {
		if r.shape.RegionOf(domain) != r.region() {
			continue
		}
		if err := r.stands(http.MethodPost, "/v1/kill?domain="+string(domain), ""); err != nil {
			return err
		}
	}
	for _, h := range r.set.Hooks {
		if h.Experiment == r.Name && r.path == throughEntry {
			return hook(r)
		}
	}
	return nil
}

func (r *run) region() ident.Region {
	if r.set.Region != "" {
		return r.set.Region
	}
	return r.shape.Regions[0]
}

func (r *run) target() ident.Region {
	if r.set.Target != "" {
		return r.set.Target
	}
	return r.shape.Regions[len(r.shape.Regions)-1]
}

func (r *run) domain() ident.Domain {
	if r.set.Domain != "" {
		return r.set.Domain
	}
	return r.shape.Domains()[0]
}

// drain adds a drain of the failure domain.
func drain(r *run) error {
	return r.change(document.DrainsSection, func(part document.Content) {
		d := part.(*document.Drains)
		d.Drains = append(d.Drains, document.Drain{Name: "experiment", Kind: document.DomainKind, Target: string(r.domain())})
	})
}

// shift makes the target's caches cold and adds a shift of half of the first service's traffic.
func shift(r *run) error {
	service := r.shape.Services[0]
	for _, domain := range r.shape.Domains() {
		if r.shape.RegionOf(domain) != r.target() {
			continue
		}
		if err := r.stands(http.MethodPost, fmt.Sprintf("/v1/cool?domain=%s&service=%s", domain, service.Name), ""); err != nil {
			return err
		}
	}
	return r.change(document.ShiftsSection, func(part document.Content) {
		d := part.(*document.Shifts)
		d.Shifts = append(d.Shifts, document.Shift{
			Name: "experiment", Service: service.Name, From: string(r.region()), To: string(r.target()),
			Share: 0.5, Cap: ident.RequestRate(service.Capacity() / 4),
		})
	})
}

// change edits one section of the document on the revision that it reads; it asks the
// control members in turn until one leads. A resend keeps the change id.
func (r *run) change(section document.Section, edit func(document.Content)) error {
	err := error(fault.New(fault.Usage, "change document", "", "the settings name no control members"))
	id := fmt.Sprintf("%s-%s", r.Name, r.tag)
	for range 3 {
		for _, address := range r.set.Control {
			if err = r.changeAt(address, id, section, edit); err == nil {
				return nil
			}
		}
	}
	return err
}

func (r *run) changeAt(address, id string, section document.Section, edit func(document.Content)) error {
	ctx, cancel := context.WithTimeout(r.ctx, actWait)
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
	part, err := document.Parse(section, text)
	if err != nil {
		return err
	}
	edit(part)
	if text, err = document.Format(part); err != nil {
		return err
	}
	reply, err := client.Apply(ctx, &rpc.ApplyRequest{
		Section: string(section), Base: base, Id: id, Operator: string(r.set.Operator), Credential: r.set.Credential, Text: text,
	})
	if err != nil {
		return fault.Of(err)
	}
	if reply.State != rpc.ApplyState_APPLY_STATE_ACCEPTED {
		return fault.New(fault.Conflict, "change document", address, "%s: %s", reply.State, reply.Reason)
	}
	return nil
}
