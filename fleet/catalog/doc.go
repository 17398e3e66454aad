// Package catalog defines the versioned configuration of a deployment, which consists of routes, services,
// workspaces and limits. It also defines changes to a catalog and the checks that a catalog must pass.
package catalog
