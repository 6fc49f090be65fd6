// Package anvilconfig holds the named configuration objects and checks a
// change set as a whole before it is published.
package anvilconfig

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Kind is the kind of a configuration object.
type Kind string

// Kinds of objects.
const (
	KindAccount   Kind = "account"
	KindGuarantee Kind = "guarantee"
	KindShape     Kind = "shape"
	KindService   Kind = "service"
)

// Key names one object.
type Key struct {
	Kind Kind               `json:"kind"`
	Name anvilid.ObjectName `json:"name"`
}

// Account is a client account. Accounts may form a tree.
type Account struct {
	// Weight is the account's part in fair shares; at least 1.
	Weight int `json:"weight"`
	// Parent is the account whose share this account divides with others.
	Parent anvilid.AccountID `json:"parent,omitempty"`
	// Services that the account may use; none means all.
	Services []anvilid.ServiceName `json:"services,omitempty"`
}

// Extent says how close to each other the accelerators of a shape must be.
type Extent string

// Extents of a shape.
const (
	WithinWorker Extent = "worker"
	WithinRack   Extent = "rack"
	WithinZone   Extent = "zone"
)

// Shape is a set of adjacent accelerators.
type Shape struct {
	Accelerators anvilid.AcceleratorCount `json:"accelerators"`
	Within       Extent                   `json:"within"`
}

// Guarantee promises an account that it can always place count gangs of a
// shape at once.
type Guarantee struct {
	Account anvilid.AccountID   `json:"account"`
	Service anvilid.ServiceName `json:"service"`
	Shape   anvilid.ShapeName   `json:"shape"`
	Count   int                 `json:"count"`
}

// Service is what a group of targets serves.
type Service struct {
	// Repeatable is the default for requests that don't say.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout is the default deadline of a request.
	Timeout anvilclock.Millis `json:"timeout"`
	// Body is the largest request body.
	Body anvilid.ByteCount `json:"body"`
	// Queue is the longest queue of one account at one instance.
	Queue int `json:"queue,omitempty"`
}

// Object is one named object. The field for its kind is set.
type Object struct {
	Key
	Account   *Account   `json:"account,omitempty"`
	Guarantee *Guarantee `json:"guarantee,omitempty"`
	Shape     *Shape     `json:"shape,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	// Revision is the revision that last changed the object.
	Revision anvilid.Revision `json:"revision,omitempty"`
}

// Change is a change set. It is published whole or not at all.
type Change struct {
	ID       anvilid.ChangeID   `json:"id"`
	Operator anvilid.OperatorID `json:"operator"`
	// Base is the revision that the operator saw.
	Base   anvilid.Revision `json:"base"`
	Set    []Object         `json:"set,omitempty"`
	Delete []Key            `json:"delete,omitempty"`
}
