package document

import (
	"bytes"
	"net/netip"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Section is the name of a section of the document. Each section has its own owners and its own revision.
type Section string

// Sections of the document.
const (
	TopologySection   Section = "places"
	ServicesSection   Section = "services"
	WorkspacesSection Section = "workspaces"
	DrainsSection     Section = "drains"
	ShiftsSection     Section = "shifts"
	OwnersSection     Section = "owners"
)

// Sections lists all sections in the order of the document.
var Sections = []Section{
	TopologySection, ServicesSection, WorkspacesSection, DrainsSection, ShiftsSection, OwnersSection,
}

// Content is the content of one section.
type Content interface{ section() Section }

// Topology describes the regions and failure domains in which the fleet runs and the links between regions.
type Topology struct {
	Regions []Region `toml:"region"`
	Domains []Domain `toml:"domain"`
	Links   []Link   `toml:"link"`
	Blocks  []Block  `toml:"block"`
}

// Region is a region with the number of requests that may run in it at the same time; 0 means no limit.
type Region struct {
	Name     ident.Region `toml:"name"`
	Capacity ident.Slots  `toml:"capacity"`
}

// Domain is a failure domain within a region.
type Domain struct {
	Name   ident.Domain `toml:"name"`
	Region ident.Region `toml:"region"`
}

// Link limits the traffic from one region to another, in Mbit/s; a rate of 0 means no limit.
type Link struct {
	From ident.Region  `toml:"from"`
	To   ident.Region  `toml:"to"`
	Rate ident.BitRate `toml:"rate"`
}

// Block assigns a range of client addresses to a region.
type Block struct {
	Prefix netip.Prefix `toml:"prefix"`
	Region ident.Region `toml:"region"`
}

// Services describes the services and their routes.
type Services struct {
	Services []Service `toml:"service"`
}

// Service is a service with its path prefix and the limits of its requests.
type Service struct {
	Name          ident.Service `toml:"name"`
	Prefix        string        `toml:"prefix"`  // path prefix, such as /forecast/
	NonIdempotent bool          `toml:"once"`    // a request must not be executed more than once
	MaxBody       ident.Bytes   `toml:"body"`    // maximum size of a request body; 0 means 1 MiB
	MaxTimeout    time.Duration `toml:"longest"` // maximum timeout of a request; 0 means 1 minute
}

// Workspaces describes the customers' workspaces with their limits and keys.
type Workspaces struct {
	Workspaces []Workspace `toml:"workspace"`
}

// Workspace is a customer's workspace with the limits that apply to it in the whole fleet.
type Workspace struct {
	Name  ident.Workspace   `toml:"name"`
	Rate  ident.RequestRate `toml:"rate"`
	Burst float64           `toml:"burst"` // in requests
	Keys  []Key             `toml:"key"`
}

// Key is a workspace key. Only the hash of its secret is stored.
type Key struct {
	ID        ident.KeyID `toml:"id"`
	Hash      string      `toml:"hash"` // SHA-256 of the secret, in hex
	Withdrawn bool        `toml:"withdrawn"`
}

// Drains lists the endpoints, failure domains, regions and VMs that get no new requests.
type Drains struct {
	Drains []Drain `toml:"drain"`
}

// TargetKind is the kind of target that a drain or a verdict applies to.
type TargetKind string

// Kinds of targets of drains and verdicts.
const (
	EndpointKind TargetKind = "endpoint" // target is an upstream's address
	DomainKind   TargetKind = "domain"
	RegionKind   TargetKind = "region"
	VMKind       TargetKind = "vm"
)

// Drain takes the target, an endpoint, failure domain, region or VM, out of use.
type Drain struct {
	Name   string     `toml:"name"`
	Kind   TargetKind `toml:"kind"`
	Target string     `toml:"target"`
}

// Shifts lists the planned traffic shifts.
type Shifts struct {
	Shifts []Shift `toml:"shift"`
}

// Shift moves a share of a service's requests from one region or failure domain to another, up to a maximum rate.
type Shift struct {
	Name    string            `toml:"name"`
	Service ident.Service     `toml:"service"`
	From    string            `toml:"from"`  // region or failure domain
	To      string            `toml:"to"`    // region or failure domain
	Share   float64           `toml:"share"` // fraction of the requests at From, 0 to 1
	Cap     ident.RequestRate `toml:"cap"`   // maximum rate of moved requests in the whole fleet
}

// Owners lists operators and monitors with the hashes of their credentials.
type Owners struct {
	Operators []Operator `toml:"operator"`
	Monitors  []Monitor  `toml:"monitor"`
}

// Operator is an operator's account with the sections that it may change.
type Operator struct {
	Name     ident.Operator `toml:"name"`
	Hash     string         `toml:"hash"` // SHA-256 of the credential, in hex
	Sections []Section      `toml:"sections"`
}

// Monitor is an account of the monitoring group, which may post verdicts.
type Monitor struct {
	Name string `toml:"name"`
	Hash string `toml:"hash"` // SHA-256 of the credential, in hex
}

func (*Topology) section() Section   { return TopologySection }
func (*Services) section() Section   { return ServicesSection }
func (*Workspaces) section() Section { return WorkspacesSection }
func (*Drains) section() Section     { return DrainsSection }
func (*Shifts) section() Section     { return ShiftsSection }
func (*Owners) section() Section     { return OwnersSection }

// Document holds the content of all sections; its zero value is the empty document.
type Document struct {
	Topology   Topology
	Services   Services
	Workspaces Workspaces
	Drains     Drains
	Shifts     Shifts
	Owners     Owners
}

// Parse decodes one section from TOML. Unknown keys are errors with the code fault.Invalid, and an unknown section is
// an error with the code fault.NotFound.
func Parse(name Section, text string) (Content, error) {
	content, err := newContent(name)
	if err != nil {
		return nil, err
	}
	md, err := toml.Decode(text, content)
	if err != nil || len(misspelledKeys(&md, content)) > 0 {
		ordered, _ := newContent(name) // known, as above
		if first := decodeInOrder(text, ordered); first != nil {
			err = first
		}
		content = ordered
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "parse section", string(name), "%v", err)
	}
	if undecoded := md.Undecoded(); len(undecoded) > 0 {
		keys := make([]string, len(undecoded))
		for i, k := range undecoded {
			keys[i] = k.String()
		}
		return nil, fault.New(fault.Invalid, "parse section", string(name), "unknown keys: %s", strings.Join(keys, ", "))
	}
	return content, nil
}

func newContent(name Section) (Content, error) {
	switch name {
	case TopologySection:
		return new(Topology), nil
	case ServicesSection:
		return new(Services), nil
	case WorkspacesSection:
		return new(Workspaces), nil
	case DrainsSection:
		return new(Drains), nil
	case ShiftsSection:
		return new(Shifts), nil
	case OwnersSection:
		return new(Owners), nil
	}
	return nil, fault.New(fault.NotFound, "parse section", string(name), "unknown section %q", name)
}

// Format encodes a section as TOML.
func Format(content Content) (string, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(content); err != nil {
		return "", errors.WithStack(fault.New(fault.Internal, "format section", string(content.section()), "%v", err))
	}
	return b.String(), nil
}

// Set replaces one section of d by content.
func (d *Document) Set(content Content) {
	switch p := content.(type) {
	case *Topology:
		d.Topology = *p
	case *Services:
		d.Services = *p
	case *Workspaces:
		d.Workspaces = *p
	case *Drains:
		d.Drains = *p
	case *Shifts:
		d.Shifts = *p
	case *Owners:
		d.Owners = *p
	}
}

// RegionOf returns the region of a failure domain, or "" if the domain is unknown.
func (p *Topology) RegionOf(domain ident.Domain) ident.Region {
	for i := range p.Domains {
		if p.Domains[i].Name == domain {
			return p.Domains[i].Region
		}
	}
	return ""
}
