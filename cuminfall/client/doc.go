// Package client calls the control group for an operator, whichever member leads.
package client
