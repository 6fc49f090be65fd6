// Package anvilconfig defines the named configuration objects (accounts, guarantees, shapes and
// services) and checks a change set as a whole before it is published to the instances.
//
// A gang is the set of accelerators on which one job runs, on one or several targets at the same time.
// A shape says how many accelerators a gang needs and how close together they must be. A guarantee
// promises an account that it can always place a number of gangs of a shape; these gangs are the
// demand on the service.
package anvilconfig

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Kind says which kind of thing a configuration object describes, and so which spec field of Object
// is set.
type Kind string

// Kinds of objects.
const (
	KindAccount   Kind = "account"
	KindGuarantee Kind = "guarantee"
	KindShape     Kind = "shape"
	KindService   Kind = "service"
)

// Key identifies one configuration object. The name is unique among the objects of its kind.
type Key struct {
	Kind Kind               `cbor:"1,keyasint" json:"kind"`
	Name anvilid.ObjectName `cbor:"2,keyasint" json:"name"`
}

// Account is a client account. Accounts may form a tree.
type Account struct {
	// Weight is the weight of the account in fair sharing; at least 1.
	Weight int `cbor:"1,keyasint" json:"weight"`
	// Parent is the account whose share is divided between this account and the other
	// accounts with the same parent.
	Parent anvilid.AccountID `cbor:"2,keyasint,omitempty" json:"parent,omitempty"`
	// Services lists the services that the account may use. An empty list allows all services.
	Services []anvilid.ServiceName `cbor:"3,keyasint,omitempty" json:"services,omitempty"`
}

// Extent says how close together the accelerators of a shape must be.
type Extent string

// Extents of a shape: all accelerators on one target, in one rack, or in one availability zone.
const (
	WithinWorker Extent = "worker"
	WithinRack   Extent = "rack"
	WithinZone   Extent = "zone"
)

// Shape describes the accelerators of a gang: their number, and how close together they must be.
type Shape struct {
	Accelerators anvilid.AcceleratorCount `cbor:"1,keyasint" json:"accelerators"`
	Within       Extent                   `cbor:"2,keyasint" json:"within"`
}

// Guarantee promises an account that it can always place Count gangs of a shape at the same time.
type Guarantee struct {
	Account anvilid.AccountID   `cbor:"1,keyasint" json:"account"`
	Service anvilid.ServiceName `cbor:"2,keyasint" json:"service"`
	Shape   anvilid.ShapeName   `cbor:"3,keyasint" json:"shape"`
	Count   int                 `cbor:"4,keyasint" json:"count"`
}

// Service is the configuration of a service, which is served by a group of targets.
type Service struct {
	// Repeatable is the default for requests that don't state whether they are repeatable.
	Repeatable bool `cbor:"1,keyasint,omitempty" json:"repeatable,omitempty"`
	// Timeout is the timeout of requests that don't state one.
	Timeout anvilclock.Millis `cbor:"2,keyasint" json:"timeout"`
	// MaxBody is the maximum size of a request body.
	MaxBody anvilid.ByteCount `cbor:"3,keyasint" json:"body"`
	// ShortOnlyTargets is the number of targets that gangs never use, so that short requests always
	// find slots while long jobs run.
	ShortOnlyTargets int `cbor:"5,keyasint,omitempty" json:"short,omitempty"`
	// MaxQueue is the maximum number of waiting requests of one account at one instance.
	MaxQueue int `cbor:"4,keyasint,omitempty" json:"queue,omitempty"`
	// Objectives are the service-level objectives that reports evaluate.
	Objectives *Objectives `cbor:"6,keyasint,omitempty" json:"objectives,omitempty"`
}

// Object is one named configuration object. Account, Guarantee, Shape and Service are its spec
// fields; only the one that corresponds to its kind is set.
type Object struct {
	Key
	Account   *Account   `cbor:"3,keyasint,omitempty" json:"account,omitempty"`
	Guarantee *Guarantee `cbor:"4,keyasint,omitempty" json:"guarantee,omitempty"`
	Shape     *Shape     `cbor:"5,keyasint,omitempty" json:"shape,omitempty"`
	Service   *Service   `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	// Revision is the revision in which the object was last changed.
	Revision anvilid.Revision `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
}

// Change is a change set: objects to set and objects to delete. It is published with all of them or
// not at all.
type Change struct {
	ID       anvilid.ChangeID   `cbor:"1,keyasint" json:"id"`
	Operator anvilid.OperatorID `cbor:"2,keyasint" json:"operator"`
	// BaseRevision is the revision on which the operator based the change.
	BaseRevision anvilid.Revision `cbor:"3,keyasint" json:"base"`
	Set          []Object         `cbor:"4,keyasint,omitempty" json:"set,omitempty"`
	Delete       []Key            `cbor:"5,keyasint,omitempty" json:"delete,omitempty"`
}
