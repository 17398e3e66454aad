// Package proxy serves callers' requests according to the registry: it finds the route and the workspace, enforces the
// rates, chooses an upstream, forwards the request and returns the upstream's response, or a refusal that does not hide
// whether the request may have run.
package proxy
