package ident

// VM is the name of a virtual machine that runs cuminfall, unique in the fleet.
type VM string

// Incarnation distinguishes successive runs of a process under one name; each run has a different number.
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

// Address is an IP address and a port, such as 127.0.0.1:7001.
type Address string

// ChangeID is the id that an operator assigns to a change.
type ChangeID string

// Revision counts the accepted changes of one section of the document.
type Revision uint64

// Index is the position of an entry in the replicated log.
type Index uint64

// Term is an election term of the control group.
type Term uint64

// Member is the id of a member of the control group, stored in its data folder.
type Member string

// Operator is the name of an operator's account.
type Operator string

// Limit is the id of a limit, which the functions of package limit create.
type Limit string
