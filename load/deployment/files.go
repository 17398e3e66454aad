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

// Shares for the rates of workspaces. Their product, 60% of the capacity, is the steady traffic.
const (
	entitledShare = 0.8  // sum of all workspaces' rates, as a fraction of the capacity
	offeredShare  = 0.75 // offered traffic, as a fraction of a workspace's rate
)

// burstSeconds is the burst of a workspace, in seconds of its rate.
const burstSeconds = 0.5

// Operator is the name of the operator that changes the document during experiments.
const Operator = "experiment"

// Credential is the operator's credential in the generated owners section. It protects only simulated deployments.
const Credential = "experiment-credential"

// WorkspaceKey returns the key of a workspace in the generated files.
func WorkspaceKey(w ident.Workspace) string { return fmt.Sprintf("ck_%s_%s", w, workspaceSecret(w)) }

func workspaceSecret(w ident.Workspace) string { return sha256Hex("secret of " + string(w))[:24] }

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Sections returns the sections of the configuration document for the deployment.
func (d *Deployment) Sections() map[document.Section]document.Content {
	topology := &document.Topology{}
	for i, r := range d.Regions {
		topology.Regions = append(topology.Regions, document.Region{Name: r, Capacity: d.RegionCapacity(r)})
		topology.Blocks = append(topology.Blocks, document.Block{Prefix: callerPrefix(i), Region: r})
		for _, to := range d.Regions {
			if to != r {
				topology.Links = append(topology.Links, document.Link{From: r, To: to, Rate: d.LinkRate})
			}
		}
	}
	for _, domain := range d.Domains() {
		topology.Domains = append(topology.Domains, document.Domain{Name: domain, Region: d.RegionOf(domain)})
	}
	services := &document.Services{}
	for i := range d.Services {
		s := &d.Services[i]
		services.Services = append(services.Services, document.Service{Name: s.Name, Prefix: "/" + string(s.Name) + "/", NonIdempotent: s.NonIdempotent})
	}
	workspaces := &document.Workspaces{}
	for _, w := range d.workspaceSettings() {
		workspaces.Workspaces = append(workspaces.Workspaces, document.Workspace{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst,
			Keys: []document.Key{{ID: ident.KeyID(w.Name), Hash: sha256Hex(workspaceSecret(w.Name))}},
		})
	}
	return map[document.Section]document.Content{
		document.TopologySection: topology, document.ServicesSection: services, document.WorkspacesSection: workspaces,
		document.DrainsSection: &document.Drains{}, document.ShiftsSection: &document.Shifts{},
		document.OwnersSection: &document.Owners{
			Operators: []document.Operator{{Name: Operator, Hash: sha256Hex(Credential), Sections: document.Sections}},
			Monitors:  []document.Monitor{{Name: "monitor", Hash: sha256Hex(Credential)}},
		},
	}
}

// callerPrefix returns the address range of the callers in a region: 127.0.(10+regionIndex).0/24.
func callerPrefix(regionIndex int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(10 + regionIndex), 0}), 24)
}

// vmPrefix returns the address range of the entry VMs in a failure domain: 127.71.(1+domainIndex).0/24.
func vmPrefix(domainIndex int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 71, byte(1 + domainIndex), 0}), 24)
}

// RegionOfAddress returns the region of an entry VM or a caller, or "" for any other address.
func (d *Deployment) RegionOfAddress(address netip.Addr) ident.Region {
	for i, domain := range d.Domains() {
		if vmPrefix(i).Contains(address) {
			return d.RegionOf(domain)
		}
	}
	for i, region := range d.Regions {
		if callerPrefix(i).Contains(address) {
			return region
		}
	}
	return ""
}

// linkSettings returns the latencies between each failure domain and all entry VMs and callers.
// Callers connect to endpoints directly in experiments with baselines, which have no entry VMs.
func (d *Deployment) linkSettings() []upstream.LinkSettings {
	var list []upstream.LinkSettings
	for _, to := range d.Domains() {
		for i, from := range d.Domains() {
			latency := d.CrossRegionLatency
			switch {
			case from == to:
				latency = 0
			case d.RegionOf(from) == d.RegionOf(to):
				latency = d.SameRegionLatency
			}
			list = append(list, upstream.LinkSettings{Domain: to, CallerPrefix: vmPrefix(i), Latency: latency})
		}
		for i, from := range d.Regions {
			latency := d.CrossRegionLatency
			if from == d.RegionOf(to) {
				latency = d.SameRegionLatency
			}
			list = append(list, upstream.LinkSettings{Domain: to, CallerPrefix: callerPrefix(i), Latency: latency})
		}
	}
	return list
}

func (d *Deployment) workspaceSettings() []caller.Workspace {
	mix := make(map[ident.Service]float64)
	for i := range d.Services {
		mix[d.Services[i].Name] = d.Services[i].Capacity() / d.Capacity()
	}
	var list []caller.Workspace
	for i, w := range d.Workspaces {
		rate := max(1, float64(int(d.Capacity()*entitledShare*w.RateShare)))
		list = append(list, caller.Workspace{
			Name: w.Name, Key: WorkspaceKey(w.Name), Rate: ident.RequestRate(rate), Burst: max(5, float64(int(rate*burstSeconds))),
			OfferedFraction: offeredShare, ServiceWeights: mix,
			LocalAddrs: []netip.Addr{netip.AddrFrom4([4]byte{127, 0, byte(10 + i%len(d.Regions)), byte(1 + i)})},
		})
	}
	return list
}

// UpstreamSettings returns the settings of one process with all endpoints, on consecutive ports from firstPort.
func (d *Deployment) UpstreamSettings(admin string, entries []string, host string, firstPort int) *upstream.Settings {
	s := upstream.Defaults()
	s.Admin = admin
	s.EntryVMs = entries
	s.Links = d.linkSettings()
	domains := d.Domains()
	portOffset := 0
	for i := range d.Services {
		for k := range d.Services[i].Endpoints {
			service := &d.Services[i]
			s.Endpoints = append(s.Endpoints, upstream.EndpointSettings{
				Service: service.Name, Address: ident.Address(fmt.Sprintf("%s:%d", host, firstPort+portOffset)), Domain: domains[k%len(domains)],
				Slots: service.Slots, MaxConnections: d.MaxConnections, MaxQueue: int(service.Slots) * 4, QueueTimeout: service.MedianServiceTime * 4,
				Distribution: "lognormal", MedianServiceTime: service.MedianServiceTime, Sigma: serviceTimeSigma, Latency: d.SameRegionLatency,
				CacheWarmupRuns: 200, CacheMissFactor: 2, ColdStartFactor: 1, ResponseSize: service.ResponseSize,
			})
			portOffset++
		}
	}
	return &s
}

// CallerSettings returns the settings of the process that simulates all callers.
func (d *Deployment) CallerSettings(entries, adminAddresses []string, endpoints []upstream.EndpointSettings) *caller.Settings {
	s := caller.Defaults()
	s.EntryAddresses = entries
	s.StandInAdmins = adminAddresses
	for i := range d.Services {
		service := &d.Services[i]
		settings := caller.Service{
			Name: service.Name, Prefix: "/" + string(service.Name) + "/", NonIdempotent: service.NonIdempotent, BodySize: service.BodySize, ResponseSize: service.ResponseSize,
			UploadFraction: service.UploadFraction, UploadSize: service.UploadSize,
		}
		if service.NonIdempotent {
			settings.RepeatFraction = 0.02
		}
		for _, e := range endpoints {
			if e.Service == service.Name {
				settings.DirectEndpoints = append(settings.DirectEndpoints, string(e.Address))
			}
		}
		s.Services = append(s.Services, settings)
	}
	s.Workspaces = d.workspaceSettings()
	return &s
}

// EncodeTOML encodes settings as TOML.
func EncodeTOML(value any) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(value); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "write settings", "")
	}
	return b.Bytes(), nil
}
