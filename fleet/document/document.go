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

// Section names one part of the document, owned and revised on its own.
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

// Sections lists all sections in the document's order.
var Sections = []Section{
	TopologySection, ServicesSection, WorkspacesSection, DrainsSection, ShiftsSection, OwnersSection,
}

// Content is the content of one section.
type Content interface{ section() Section }

// Topology describes where the fleet runs.
type Topology struct {
	Regions []Region `toml:"region"`
	Domains []Domain `toml:"domain"`
	Links   []Link   `toml:"link"`
	Blocks  []Block  `toml:"block"`
}

// Region is a region and the requests that may run in it at the same time; 0 means no limit.
type Region struct {
	Name     ident.Region `toml:"name"`
	Capacity ident.Slots  `toml:"capacity"`
}

// Domain is a failure domain within a region.
type Domain struct {
	Name   ident.Domain `toml:"name"`
	Region ident.Region `toml:"region"`
}

// Link is the traffic limit from one region to another; a rate of 0 means no limit.
type Link struct {
	From ident.Region  `toml:"from"`
	To   ident.Region  `toml:"to"`
	Rate ident.BitRate `toml:"rate"`
}

// Block places a range of client addresses in a region.
type Block struct {
	Prefix netip.Prefix `toml:"prefix"`
	Region ident.Region `toml:"region"`
}

// Services describes the services and their routes.
type Services struct {
	Services []Service `toml:"service"`
}

// Service is a service; NonIdempotent marks it as non-idempotent.
type Service struct {
	Name          ident.Service `toml:"name"`
	Prefix        string        `toml:"prefix"`  // path prefix, such as /forecast/
	NonIdempotent bool          `toml:"once"`    // requests are non-idempotent
	MaxBody       ident.Bytes   `toml:"body"`    // largest request body; 0 means 1 MiB
	MaxTimeout    time.Duration `toml:"longest"` // largest time-out of a request; 0 means 1 minute
}

// Workspaces describes the customers, their limits and keys.
type Workspaces struct {
	Workspaces []Workspace `toml:"workspace"`
}

// Workspace is a customer with a rate and a burst over the whole fleet.
type Workspace struct {
	Name  ident.Workspace   `toml:"name"`
	Rate  ident.RequestRate `toml:"rate"`
	Burst float64           `toml:"burst"` // requests
	Keys  []Key             `toml:"key"`
}

// Key is a workspace key, of which only the hash is kept.
type Key struct {
	ID        ident.KeyID `toml:"id"`
	Hash      string      `toml:"hash"` // SHA-256 of the secret, in hex
	Withdrawn bool        `toml:"withdrawn"`
}

// Drains lists the places that get no new work.
type Drains struct {
	Drains []Drain `toml:"drain"`
}

// TargetKind says what a drain or a verdict is about.
type TargetKind string

// Kinds of targets.
const (
	EndpointKind TargetKind = "endpoint" // target is an upstream's address
	DomainKind   TargetKind = "domain"
	RegionKind   TargetKind = "region"
	VMKind       TargetKind = "vm"
)

// Drain takes an endpoint, failure domain, region or VM out of use.
type Drain struct {
	Name   string     `toml:"name"`
	Kind   TargetKind `toml:"kind"`
	Target string     `toml:"target"`
}

// Shifts lists the planned moves of traffic.
type Shifts struct {
	Shifts []Shift `toml:"shift"`
}

// Shift moves a share of a service's traffic between places, under a cap.
type Shift struct {
	Name    string            `toml:"name"`
	Service ident.Service     `toml:"service"`
	From    string            `toml:"from"`  // region or failure domain
	To      string            `toml:"to"`    // region or failure domain
	Share   float64           `toml:"share"` // of the traffic at From, 0 to 1
	Cap     ident.RequestRate `toml:"cap"`   // moved requests over the whole fleet
}

// Owners lists operators and monitors with their credentials.
type Owners struct {
	Operators []Operator `toml:"operator"`
	Monitors  []Monitor  `toml:"monitor"`
}

// Operator is an account with the sections that it may change.
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

// Document is the content of all sections; its zero value is the empty document.
type Document struct {
	Topology   Topology
	Services   Services
	Workspaces Workspaces
	Drains     Drains
	Shifts     Shifts
	Owners     Owners
}

// Parse reads one section from TOML; unknown keys and unknown sections are errors.
func Parse(name Section, text string) (Content, error) {
	content, err := newContent(name)
	if err != nil {
		return nil, err
	}
	md, err := toml.Decode(text, content)
	if err != nil {
		return nil, fault.New(fault.Invalid, "parse section", string(name), "%v", err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		keys := make([]string, len(extra))
		for i, k := range extra {
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

// Format writes a section as TOML.
func Format(content Content) (string, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(content); err != nil {
		return "", errors.WithStack(fault.New(fault.Internal, "format section", string(content.section()), "%v", err))
	}
	return b.String(), nil
}

// Set replaces one section of d.
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

// RegionOf returns the region of a failure domain, or "" for an unknown one.
func (p *Topology) RegionOf(domain ident.Domain) ident.Region {
	for i := range p.Domains {
		if p.Domains[i].Name == domain {
			return p.Domains[i].Region
		}
	}
	return ""
}
