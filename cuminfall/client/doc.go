// Package client calls the control group for an operator and finds its leader.
package client
