package deployment

import (
	"math"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Shape is a deployment as far as traffic depends on it.
type Shape struct {
	Name        string
	Regions     []ident.Region
	Near        time.Duration // one way between failure domains of a region
	Far         time.Duration // one way between regions
	Link        ident.BitRate // between two regions, each direction
	Connections ident.Connections
	Services    []Service
	Workspaces  []Workspace
}

// Service is a service of a deployment. Service times are those of the stand-ins: the
// real ones are not known, and these keep the traffic within what one machine can carry.
type Service struct {
	Name      ident.Service
	Endpoints int
	Slots     ident.Slots
	Once      bool
	Median    time.Duration
	Body      ident.Bytes
	Answer    ident.Bytes
	Uploads   float64
	Upload    ident.Bytes
}

// Workspace is a workspace with its part of all rates.
type Workspace struct {
	Name ident.Workspace
	Part float64
}

// spread is the sigma of the logarithm of service times.
const spread = 0.5

// Capacity returns the requests per second at which all slots of the service are in use.
func (s *Service) Capacity() float64 {
	mean := s.Median.Seconds() * math.Exp(spread*spread/2) // of a lognormal distribution
	return float64(s.Endpoints) * float64(s.Slots) / mean
}

// Capacity returns the requests per second of all services.
func (d *Shape) Capacity() float64 {
	total := 0.0
	for i := range d.Services {
		total += d.Services[i].Capacity()
	}
	return total
}

// regionPart is the part of a region's slots that the region can serve at once: design.md states no
// capacity, and one below the slots makes it a limit of its own.
const regionPart = 0.9

// RegionCapacity returns the requests that may run in the region at the same time.
func (d *Shape) RegionCapacity(r ident.Region) ident.Slots {
	domains := d.Domains()
	total := 0
	for i := range d.Services {
		for k := range d.Services[i].Endpoints {
			if d.RegionOf(domains[k%len(domains)]) == r {
				total += int(d.Services[i].Slots)
			}
		}
	}
	return ident.Slots(regionPart * float64(total))
}

// Domains returns the failure domains, two for each region.
func (d *Shape) Domains() []ident.Domain {
	var list []ident.Domain
	for _, r := range d.Regions {
		list = append(list, ident.Domain(r)+"-a", ident.Domain(r)+"-b")
	}
	return list
}

// RegionOf returns the region of a failure domain.
func (d *Shape) RegionOf(domain ident.Domain) ident.Region {
	for _, r := range d.Regions {
		if domain == ident.Domain(r)+"-a" || domain == ident.Domain(r)+"-b" {
			return r
		}
	}
	return ""
}

// Names lists the deployments.
var Names = []string{"revontuli", "emberdeck"}

// Find returns the deployment of that name.
func Find(name string) (*Shape, error) {
	switch name {
	case "revontuli":
		return revontuli(), nil
	case "emberdeck":
		return emberdeck(), nil
	}
	return nil, fault.New(fault.Usage, "choose deployment", "", "unknown deployment %q: revontuli or emberdeck", name)
}

func revontuli() *Shape {
	return &Shape{
		Name: "revontuli", Regions: []ident.Region{"lappi", "pohjanmaa", "uusimaa"},
		Near: 1500 * time.Microsecond, Far: 55 * time.Millisecond, Link: 280, Connections: 330,
		Services: []Service{
			{Name: "forecast", Endpoints: 14, Slots: 7, Median: 80 * time.Millisecond, Body: 200, Answer: 2000},
			{Name: "claims", Endpoints: 12, Slots: 5, Once: true, Median: 150 * time.Millisecond, Body: 400, Answer: 600},
			{Name: "archive", Endpoints: 12, Slots: 3, Median: 120 * time.Millisecond, Body: 500, Answer: 4000, Uploads: 0.05, Upload: 64 << 10},
		},
		Workspaces: []Workspace{
			{"aurora", 0.30}, {"kelo", 0.22}, {"halla", 0.16}, {"routa", 0.10},
			{"tuisku", 0.08}, {"nuoska", 0.06}, {"usva", 0.05}, {"sumu", 0.03},
		},
	}
}

func emberdeck() *Shape {
	return &Shape{
		Name: "emberdeck", Regions: []ident.Region{"bne", "syd", "mel"},
		Near: time.Millisecond, Far: 35 * time.Millisecond, Link: 4000, Connections: 390,
		Services: []Service{
			{Name: "catalogue", Endpoints: 22, Slots: 4, Median: 70 * time.Millisecond, Body: 200, Answer: 3000},
			{Name: "ledger", Endpoints: 12, Slots: 4, Once: true, Median: 150 * time.Millisecond, Body: 400, Answer: 600},
			{Name: "snapshots", Endpoints: 12, Slots: 3, Median: 120 * time.Millisecond, Body: 500, Answer: 4000, Uploads: 0.05, Upload: 64 << 10},
		},
		Workspaces: []Workspace{
			{"banksia", 0.28}, {"mallee", 0.20}, {"wattle", 0.16}, {"saltbush", 0.12},
			{"spinifex", 0.09}, {"waratah", 0.07}, {"grevillea", 0.05}, {"bottlebrush", 0.03},
		},
	}
}
