package deployment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/upstream"
)

// Rates of workspaces: together they may use this part of the capacity, and offer
// that part of their rates, so that steady traffic is 60% of the capacity.
const (
	entitledPart = 0.8
	offeredPart  = 0.75
)

// burstSeconds is the burst of a workspace in seconds of its rate.
const burstSeconds = 0.5

// Operator is the account with which experiments change the document.
const Operator = "experiment"

// Credential is the operator's credential in the generated owners section; it guards nothing but stand-ins.
const Credential = "experiment-credential"

// Key returns the key of a workspace in the generated files.
func Key(w ident.Workspace) string { return fmt.Sprintf("ck_%s_%s", w, secret(w)) }

func secret(w ident.Workspace) string { return hash("secret of " + string(w))[:24] }

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Sections returns the document that operators would have for the deployment.
func (d *Shape) Sections() map[document.Section]document.Content {
	places := &document.Topology{}
	for i, r := range d.Regions {
		places.Regions = append(places.Regions, document.Region{Name: r, Capacity: d.RegionCapacity(r)})
		places.Blocks = append(places.Blocks, document.Block{Prefix: callers(i), Region: r})
		for _, to := range d.Regions {
			if to != r {
				places.Links = append(places.Links, document.Link{From: r, To: to, Rate: d.Link})
			}
		}
	}
	for _, domain := range d.Domains() {
		places.Domains = append(places.Domains, document.Domain{Name: domain, Region: d.RegionOf(domain)})
	}
	services := &document.Services{}
	for i := range d.Services {
		s := &d.Services[i]
		services.Services = append(services.Services, document.Service{Name: s.Name, Prefix: "/" + string(s.Name) + "/", NonIdempotent: s.Once})
	}
	workspaces := &document.Workspaces{}
	for _, w := range d.workspaces() {
		workspaces.Workspaces = append(workspaces.Workspaces, document.Workspace{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst,
			Keys: []document.Key{{ID: ident.KeyID(w.Name), Hash: hash(secret(w.Name))}},
		})
	}
	return map[document.Section]document.Content{
		document.TopologySection: places, document.ServicesSection: services, document.WorkspacesSection: workspaces,
		document.DrainsSection: &document.Drains{}, document.ShiftsSection: &document.Shifts{},
		document.OwnersSection: &document.Owners{
			Operators: []document.Operator{{Name: Operator, Hash: hash(Credential), Sections: document.Sections}},
			Monitors:  []document.Monitor{{Name: "monitor", Hash: hash(Credential)}},
		},
	}
}

// callers returns the address range of the callers of region n: 127.0.(10+n).0/24.
func callers(n int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(10 + n), 0}), 24)
}

// vms returns the address range of the entry VMs of failure domain n: 127.71.(1+n).0/24.
func vms(n int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 71, byte(1 + n), 0}), 24)
}

// RegionAt returns the region of an entry VM or caller by its address; other addresses have none.
func (d *Shape) RegionAt(address netip.Addr) ident.Region {
	for i, domain := range d.Domains() {
		if vms(i).Contains(address) {
			return d.RegionOf(domain)
		}
	}
	for i, region := range d.Regions {
		if callers(i).Contains(address) {
			return region
		}
	}
	return ""
}

// links gives the latency between each failure domain and the entry VMs of all others.
// Baselines have no entry VMs; a request of theirs comes from its caller's region.
func (d *Shape) links() []upstream.LinkSettings {
	var list []upstream.LinkSettings
	for _, to := range d.Domains() {
		for i, from := range d.Domains() {
			latency := d.Far
			switch {
			case from == to:
				latency = 0
			case d.RegionOf(from) == d.RegionOf(to):
				latency = d.Near
			}
			list = append(list, upstream.LinkSettings{Domain: to, Prefix: vms(i), Latency: latency})
		}
		for i, from := range d.Regions {
			latency := d.Far
			if from == d.RegionOf(to) {
				latency = d.Near
			}
			list = append(list, upstream.LinkSettings{Domain: to, Prefix: callers(i), Latency: latency})
		}
	}
	return list
}

func (d *Shape) workspaces() []caller.Workspace {
	mix := make(map[ident.Service]float64)
	for i := range d.Services {
		mix[d.Services[i].Name] = d.Services[i].Capacity() / d.Capacity()
	}
	var list []caller.Workspace
	for i, w := range d.Workspaces {
		rate := max(1, float64(int(d.Capacity()*entitledPart*w.Part)))
		list = append(list, caller.Workspace{
			Name: w.Name, Key: Key(w.Name), Rate: ident.RequestRate(rate), Burst: max(5, float64(int(rate*burstSeconds))),
			OfferedFraction: offeredPart, ServiceWeights: mix,
			LocalAddrs: []netip.Addr{netip.AddrFrom4([4]byte{127, 0, byte(10 + i%len(d.Regions)), byte(1 + i)})},
		})
	}
	return list
}

// Upstream returns the settings of one process with all endpoints, on the host's ports from port on.
func (d *Shape) Upstream(admin string, entries []string, host string, port int) *upstream.Settings {
	s := upstream.Defaults()
	s.Admin = admin
	s.Entries = entries
	s.Links = d.links()
	domains := d.Domains()
	n := 0
	for i := range d.Services {
		for k := range d.Services[i].Endpoints {
			one := &d.Services[i]
			s.Endpoints = append(s.Endpoints, upstream.EndpointSettings{
				Service: one.Name, Address: ident.Address(fmt.Sprintf("%s:%d", host, port+n)), Domain: domains[k%len(domains)],
				Slots: one.Slots, Connections: d.Connections, Queue: int(one.Slots) * 4, Patience: one.Median * 4,
				Times: "lognormal", Median: one.Median, Spread: spread, Latency: d.Near,
				Cache: 200, Miss: 2, Slow: 1, Answer: one.Answer,
			})
			n++
		}
	}
	return &s
}

// Caller returns the settings of the callers.
func (d *Shape) Caller(entries, stands []string, endpoints []upstream.EndpointSettings) *caller.Settings {
	s := caller.Defaults()
	s.EntryAddresses = entries
	s.StandInAdmins = stands
	for i := range d.Services {
		one := &d.Services[i]
		service := caller.Service{
			Name: one.Name, Prefix: "/" + string(one.Name) + "/", NonIdempotent: one.Once, BodySize: one.Body, AnswerSize: one.Answer,
			UploadFraction: one.Uploads, UploadSize: one.Upload,
		}
		if one.Once {
			service.RepeatFraction = 0.02
		}
		for _, e := range endpoints {
			if e.Service == one.Name {
				service.DirectEndpoints = append(service.DirectEndpoints, string(e.Address))
			}
		}
		s.Services = append(s.Services, service)
	}
	s.Workspaces = d.workspaces()
	return &s
}

// Encode writes settings as TOML.
func Encode(value any) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(value); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "write settings", "")
	}
	return b.Bytes(), nil
}
