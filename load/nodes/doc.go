// Package nodes runs stand-ins for entry VMs against a real control group and measures what they cost it.
package nodes
