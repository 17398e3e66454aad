package document

import "cuminfall.example/fleet/ident"

// Find returns the workspace with a name, or nil.
func (w *Workspaces) Find(name ident.Workspace) *Workspace {
	for i := range w.Workspaces {
		if w.Workspaces[i].Name == name {
			return &w.Workspaces[i]
		}
	}
	return nil
}

// FindKey returns the key with an id among the keys of all workspaces, or nil.
func (w *Workspaces) FindKey(id ident.KeyID) *Key {
	for i := range w.Workspaces {
		keys := w.Workspaces[i].Keys
		for j := range keys {
			if keys[j].ID == id {
				return &keys[j]
			}
		}
	}
	return nil
}

// Remove deletes the drain with a name and reports whether it existed.
func (d *Drains) Remove(name string) bool {
	for i := range d.Drains {
		if d.Drains[i].Name == name {
			d.Drains = append(d.Drains[:i], d.Drains[i+1:]...)
			return true
		}
	}
	return false
}

// Remove deletes the shift with a name and reports whether it existed.
func (s *Shifts) Remove(name string) bool {
	for i := range s.Shifts {
		if s.Shifts[i].Name == name {
			s.Shifts = append(s.Shifts[:i], s.Shifts[i+1:]...)
			return true
		}
	}
	return false
}
