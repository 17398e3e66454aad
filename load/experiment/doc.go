// Package experiment runs the experiments by which the fleet is judged: traffic, one event, and figures.
package experiment
