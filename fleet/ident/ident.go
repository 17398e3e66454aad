package ident

// VM is the name of one of the system's own machines, unique in the fleet.
type VM string

// Incarnation tells successive runs under one name apart; a later run has a different number.
type Incarnation uint64

// Region is the name of a region.
type Region string

// Domain is the name of a failure domain, unique in the fleet.
type Domain string

// Service is the name of a service.
type Service string

// Workspace is the name of a customer's workspace.
type Workspace string

// KeyID is the public part of a workspace key.
type KeyID string

// Address is a host:port with the host as an IP number.
type Address string

// ChangeID is an operator's own id of a change.
type ChangeID string

// Revision counts the accepted changes of one section of the document.
type Revision uint64

// Index is a position in the replicated log.
type Index uint64

// Term is an election term.
type Term uint64

// Member is the id of a control group member, bound to one data folder.
type Member string

// Operator is the name of an operator's account.
type Operator string

// Limit is the id of a limited quantity, made by the functions of package limit.
type Limit string
