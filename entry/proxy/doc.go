// Package proxy serves callers' requests by the shared register: it finds the route and the workspace, keeps
// to the rates, chooses an upstream, sends the request there and returns the answer or an honest refusal.
package proxy
