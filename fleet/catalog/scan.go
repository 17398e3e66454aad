package catalog

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/jsonscan"
)

// Keys of the encoded types, in the order in which encoding/json writes them.
var (
	routeKeys     = []string{"name", "host", "prefix", "idempotent", "timeout", "goal", "attempts", "rank", "splits", "open", "sticky", "homes", "text"}
	splitKeys     = []string{"service", "weight"}
	serviceKeys   = []string{"name", "health", "connections", "cold", "coldrate", "text"}
	workspaceKeys = []string{"name", "keys", "rank", "rate", "burst", "homes", "text"}
	limitsKeys    = []string{"head", "body", "headwait", "idle", "text"}
	catalogKeys   = []string{"version", "limits", "routes", "services", "workspaces"}
	changeKeys    = []string{"digest", "base", "version", "whole", "limits", "routes", "services", "workspaces", "remove"}
	removeKeys    = []string{"routes", "services", "workspaces"}
)

// Scan reads the encoded catalog. If it is not as encoding/json writes it, the scanner fails.
func (c *Catalog) Scan(s *jsonscan.Scanner) {
	s.Struct(catalogKeys, func(key int) {
		switch key {
		case 0:
			c.Version = Version(s.Uint(64))
		case 1:
			c.Limits = scanLimits(s)
		default:
			c.Items.scan(s, key-2)
		}
	})
}

// Scan reads the encoded change. If it is not as encoding/json writes it, the scanner fails.
func (c *Change) Scan(s *jsonscan.Scanner) {
	s.Struct(changeKeys, func(key int) {
		switch key {
		case 0:
			c.Digest = s.Text()
		case 1:
			c.Base = Version(s.Uint(64))
		case 2:
			c.Version = Version(s.Uint(64))
		case 3:
			c.Full = s.Bool()
		case 4:
			c.Limits = scanLimits(s)
		case 8:
			c.scanRemove(s)
		default:
			c.Items.scan(s, key-5)
		}
	})
}

// scanRemove reads the removed names. A list without any is not written.
func (c *Change) scanRemove(s *jsonscan.Scanner) {
	s.Struct(removeKeys, func(key int) {
		names := scanTexts(s)
		if len(names) == 0 {
			s.Fail()
		}
		switch key {
		case 0:
			c.Remove.Routes = names
		case 1:
			for _, name := range names {
				c.Remove.Services = append(c.Remove.Services, ident.Service(name))
			}
		case 2:
			for _, name := range names {
				c.Remove.Workspaces = append(c.Remove.Workspaces, ident.Workspace(name))
			}
		}
	})
}

// scan reads one of the maps: the routes, the services or the workspaces.
func (i *Items) scan(s *jsonscan.Scanner, kind int) {
	switch kind {
	case 0:
		i.Routes = map[string]Route{}
		s.Map(func(name string) { i.Routes[name] = scanRoute(s) })
	case 1:
		i.Services = map[ident.Service]Service{}
		s.Map(func(name string) { i.Services[ident.Service(name)] = scanService(s) })
	case 2:
		i.Workspaces = map[ident.Workspace]Workspace{}
		s.Map(func(name string) { i.Workspaces[ident.Workspace(name)] = scanWorkspace(s) })
	}
}

func scanRoute(s *jsonscan.Scanner) (r Route) {
	s.Struct(routeKeys, func(key int) {
		switch key {
		case 0:
			r.Name = s.Text()
		case 1:
			r.Host = s.Text()
		case 2:
			r.Prefix = s.Text()
		case 3:
			r.Idempotent = s.Bool()
		case 4:
			r.Timeout = time.Duration(s.Int(64))
		case 5:
			r.LatencyTarget = time.Duration(s.Int(64))
		case 6:
			r.MaxAttempts = int(s.Int(0))
		case 7:
			r.Priority = int(s.Int(0))
		case 8:
			r.Splits = scanSplits(s)
		case 9:
			r.KeyOptional = s.Bool()
		case 10:
			r.Sticky = s.Bool()
		case 11:
			r.AllowedRegions = scanRegions(s)
		case 12:
			r.Source = s.Raw()
		}
	})
	return r
}

func scanSplits(s *jsonscan.Scanner) []Split {
	list := []Split{}
	if !s.Array(func() { list = append(list, scanSplit(s)) }) {
		return nil
	}
	return list
}

func scanSplit(s *jsonscan.Scanner) (split Split) {
	s.Struct(splitKeys, func(key int) {
		switch key {
		case 0:
			split.Service = ident.Service(s.Text())
		case 1:
			split.Weight = s.Float()
		}
	})
	return split
}

func scanService(s *jsonscan.Scanner) (v Service) {
	s.Struct(serviceKeys, func(key int) {
		switch key {
		case 0:
			v.Name = ident.Service(s.Text())
		case 1:
			v.HealthPath = s.Text()
		case 2:
			v.MaxConnections = ident.Connections(s.Uint(32))
		case 3:
			v.ColdStart = time.Duration(s.Int(64))
		case 4:
			v.ColdRate = ident.RequestRate(s.Float())
		case 5:
			v.Source = s.Raw()
		}
	})
	return v
}

func scanWorkspace(s *jsonscan.Scanner) (w Workspace) {
	s.Struct(workspaceKeys, func(key int) {
		switch key {
		case 0:
			w.Name = ident.Workspace(s.Text())
		case 1:
			w.Keys = scanTexts(s)
		case 2:
			rank := int(s.Int(0))
			w.Priority = &rank
		case 3:
			w.Rate = ident.RequestRate(s.Float())
		case 4:
			w.Burst = s.Float()
		case 5:
			w.AllowedRegions = scanRegions(s)
		case 6:
			w.Source = s.Raw()
		}
	})
	return w
}

func scanLimits(s *jsonscan.Scanner) *Limits {
	l := &Limits{}
	s.Struct(limitsKeys, func(key int) {
		switch key {
		case 0:
			l.MaxHeaderBytes = ident.Bytes(s.Int(64))
		case 1:
			l.MaxBodyBytes = ident.Bytes(s.Int(64))
		case 2:
			l.HeaderTimeout = time.Duration(s.Int(64))
		case 3:
			l.IdleTimeout = time.Duration(s.Int(64))
		case 4:
			l.Source = s.Raw()
		}
	})
	return l
}

func scanTexts(s *jsonscan.Scanner) []string {
	list := []string{}
	if !s.Array(func() { list = append(list, s.Text()) }) {
		return nil
	}
	return list
}

func scanRegions(s *jsonscan.Scanner) []ident.Region {
	list := []ident.Region{}
	if !s.Array(func() { list = append(list, ident.Region(s.Text())) }) {
		return nil
	}
	return list
}
