package deployment

import (
	"math"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Deployment describes the regions, links, services and workspaces of an example deployment.
type Deployment struct {
	Name               string
	Regions            []ident.Region
	SameRegionLatency  time.Duration     // one-way, between failure domains of a region
	CrossRegionLatency time.Duration     // one-way, between regions
	LinkRate           ident.BitRate     // Mbit/s between two regions, in each direction
	MaxConnections     ident.Connections // per endpoint
	Services           []Service
	Workspaces         []Workspace
}

// Service is a service of a deployment. The real service times are not known; those of the
// stand-in endpoints keep the traffic low enough to run on one computer.
type Service struct {
	Name              ident.Service
	Endpoints         int
	Slots             ident.Slots
	NonIdempotent     bool
	MedianServiceTime time.Duration
	BodySize          ident.Bytes
	ResponseSize      ident.Bytes
	UploadFraction    float64 // part of the requests that are uploads of UploadSize
	UploadSize        ident.Bytes
}

// Workspace is a workspace with its share of the rates of all workspaces.
type Workspace struct {
	Name      ident.Workspace
	RateShare float64
}

// serviceTimeSigma is the standard deviation of the logarithm of service times.
const serviceTimeSigma = 0.5

// Capacity returns the request rate, per second, at which all slots of the service are in use.
func (s *Service) Capacity() float64 {
	mean := s.MedianServiceTime.Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2) // mean of a lognormal distribution
	return float64(s.Endpoints) * float64(s.Slots) / mean
}

// Capacity returns the sum of the capacities of all services, in requests per second.
func (d *Deployment) Capacity() float64 {
	total := 0.0
	for i := range d.Services {
		total += d.Services[i].Capacity()
	}
	return total
}

// regionCapacityShare is the capacity of a region as a fraction of its slots. docs/design.md specifies
// no capacity; with a fraction below 1 the region's capacity limits requests before its slots do.
const regionCapacityShare = 0.9

// RegionCapacity returns how many requests may run in the region concurrently.
func (d *Deployment) RegionCapacity(r ident.Region) ident.Slots {
	domains := d.Domains()
	slots := 0
	for i := range d.Services {
		for endpoint := range d.Services[i].Endpoints {
			if d.RegionOf(domains[endpoint%len(domains)]) == r {
				slots += int(d.Services[i].Slots)
			}
		}
	}
	return ident.Slots(regionCapacityShare * float64(slots))
}

// Domains returns the names of the failure domains, two for each region.
func (d *Deployment) Domains() []ident.Domain {
	var list []ident.Domain
	for _, r := range d.Regions {
		list = append(list, ident.Domain(r)+"-a", ident.Domain(r)+"-b")
	}
	return list
}

// RegionOf returns the region of a failure domain, or "" if it is unknown.
func (d *Deployment) RegionOf(domain ident.Domain) ident.Region {
	for _, r := range d.Regions {
		if domain == ident.Domain(r)+"-a" || domain == ident.Domain(r)+"-b" {
			return r
		}
	}
	return ""
}

// Names lists the names of all deployments.
var Names = []string{"revontuli", "emberdeck"}

// Find returns the named deployment, or an error with code usage if there is none.
func Find(name string) (*Deployment, error) {
	switch name {
	case "revontuli":
		return revontuli(), nil
	case "emberdeck":
		return emberdeck(), nil
	}
	return nil, fault.New(fault.Usage, "choose deployment", "", "unknown deployment %q: must be revontuli or emberdeck", name)
}

func revontuli() *Deployment {
	return &Deployment{
		Name: "revontuli", Regions: []ident.Region{"lappi", "pohjanmaa", "uusimaa"},
		SameRegionLatency: 1500 * time.Microsecond, CrossRegionLatency: 55 * time.Millisecond, LinkRate: 280, MaxConnections: 330,
		Services: []Service{
			{Name: "forecast", Endpoints: 14, Slots: 7, MedianServiceTime: 80 * time.Millisecond, BodySize: 200, ResponseSize: 2000},
			{Name: "claims", Endpoints: 12, Slots: 5, NonIdempotent: true, MedianServiceTime: 150 * time.Millisecond, BodySize: 400, ResponseSize: 600},
			{Name: "archive", Endpoints: 12, Slots: 3, MedianServiceTime: 120 * time.Millisecond, BodySize: 500, ResponseSize: 4000, UploadFraction: 0.05, UploadSize: 64 << 10},
		},
		Workspaces: []Workspace{
			{"aurora", 0.30}, {"kelo", 0.22}, {"halla", 0.16}, {"routa", 0.10},
			{"tuisku", 0.08}, {"nuoska", 0.06}, {"usva", 0.05}, {"sumu", 0.03},
		},
	}
}

func emberdeck() *Deployment {
	return &Deployment{
		Name: "emberdeck", Regions: []ident.Region{"bne", "syd", "mel"},
		SameRegionLatency: time.Millisecond, CrossRegionLatency: 35 * time.Millisecond, LinkRate: 4000, MaxConnections: 390,
		Services: []Service{
			{Name: "catalogue", Endpoints: 22, Slots: 4, MedianServiceTime: 70 * time.Millisecond, BodySize: 200, ResponseSize: 3000},
			{Name: "ledger", Endpoints: 12, Slots: 4, NonIdempotent: true, MedianServiceTime: 150 * time.Millisecond, BodySize: 400, ResponseSize: 600},
			{Name: "snapshots", Endpoints: 12, Slots: 3, MedianServiceTime: 120 * time.Millisecond, BodySize: 500, ResponseSize: 4000, UploadFraction: 0.05, UploadSize: 64 << 10},
		},
		Workspaces: []Workspace{
			{"banksia", 0.28}, {"mallee", 0.20}, {"wattle", 0.16}, {"saltbush", 0.12},
			{"spinifex", 0.09}, {"waratah", 0.07}, {"grevillea", 0.05}, {"bottlebrush", 0.03},
		},
	}
}
