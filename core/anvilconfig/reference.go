package anvilconfig

import (
	"slices"

	"anvilshunt/core/anvilid"
)

// References returns the keys of the objects that an object refers to, together with the name of
// the referring field.
func (o Object) References() map[Key]string {
	names := map[Key]string{}
	if o.Account != nil {
		if o.Account.Parent != "" {
			names[Key{KindAccount, anvilid.ObjectName(o.Account.Parent)}] = "parent"
		}
		for _, service := range o.Account.Services {
			names[Key{KindService, anvilid.ObjectName(service)}] = "services"
		}
	}
	if o.Guarantee != nil {
		names[Key{KindAccount, anvilid.ObjectName(o.Guarantee.Account)}] = "account"
		names[Key{KindService, anvilid.ObjectName(o.Guarantee.Service)}] = "service"
		names[Key{KindShape, anvilid.ObjectName(o.Guarantee.Shape)}] = "shape"
	}
	return names
}

// checkDeletedInUse reports deleted objects to which an object outside the change set still refers.
// References from objects of the change set are checked by checkReference.
func (c *checker) checkDeletedInUse() {
	if len(c.deleted) == 0 {
		return
	}
	users := map[Key][]Key{}
	for key, object := range c.current.Objects {
		if _, replaced := c.set[key]; replaced || c.deleted[key] {
			continue
		}
		for name := range object.References() {
			if c.deleted[name] {
				users[name] = append(users[name], key)
			}
		}
	}
	for _, key := range c.change.Delete {
		if len(users[key]) == 0 {
			continue
		}
		user := slices.MinFunc(users[key], Key.Compare)
		c.add(key, "name", CodeInUse, "%d other objects use it, such as %s %q; change or delete these as well",
			len(users[key]), user.Kind, user.Name)
	}
}

// checkServiceAccess reports guarantees for a service that their account may not use. Changing an
// account can cause this for guarantees that are not part of the change set.
func (c *checker) checkServiceAccess() {
	restricted := map[anvilid.AccountID]bool{}
	setsGuarantee := false
	for key, object := range c.set {
		if object.Account != nil && len(object.Account.Services) > 0 {
			restricted[anvilid.AccountID(key.Name)] = true
		}
		setsGuarantee = setsGuarantee || object.Guarantee != nil
	}
	if !setsGuarantee && len(restricted) == 0 {
		return
	}
	var wrong []Object
	c.forEach(func(object Object) {
		guarantee := object.Guarantee
		if guarantee == nil {
			return
		}
		if _, set := c.set[object.Key]; !set && !restricted[guarantee.Account] {
			return
		}
		account, _ := c.get(Key{KindAccount, anvilid.ObjectName(guarantee.Account)})
		if account.Account != nil && !account.Account.MayUse(guarantee.Service) {
			wrong = append(wrong, object)
		}
	})
	slices.SortFunc(wrong, func(a, b Object) int { return a.Compare(b.Key) })
	for _, object := range wrong {
		c.add(object.Key, "service", CodeNotAllowed, "account %q may not use service %q; add the service to the account or choose another one",
			object.Guarantee.Account, object.Guarantee.Service)
	}
}

// MayUse reports whether the account may use a service.
func (a *Account) MayUse(service anvilid.ServiceName) bool {
	return len(a.Services) == 0 || slices.Contains(a.Services, service)
}
