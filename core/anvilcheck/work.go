package anvilcheck

import (
	"slices"
	"strings"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// KindQueue is the kind of findings about queues, which only the work of the users' platform has.
const KindQueue anvilconfig.Kind = "queue"

// Work checks a configuration of queues, services and accounts. Unlike Config.Check it reports everything
// that is wrong. A nil fleet means that the targets are not known.
func Work(config *anvilwork.Config, fleet Fleet) []Finding {
	w := workChecker{config: config, fleet: fleet}
	w.checkQueues()
	w.checkServices()
	w.checkAccounts()
	return w.sorted()
}

type workChecker struct {
	config *anvilwork.Config
	fleet  Fleet
	list
}

func queueKey(name anvilwork.QueueName) anvilconfig.Key {
	return anvilconfig.Key{Kind: KindQueue, Name: anvilid.ObjectName(name)}
}

func (w *workChecker) checkQueues() {
	type route struct{ host, prefix string }
	names := map[anvilwork.QueueName]bool{}
	routes := map[route]anvilwork.QueueName{}
	hasKeys := slices.ContainsFunc(w.config.Accounts, func(account anvilwork.Account) bool { return len(account.Keys) > 0 })
	for _, queue := range w.config.Queues {
		key := queueKey(queue.Name)
		if names[queue.Name] {
			w.add(SeverityError, key, "name", CodeRepeated, "two queues have this name; rename one")
		}
		names[queue.Name] = true
		if other, taken := routes[route{queue.Host, queue.Prefix}]; taken {
			w.add(SeverityError, key, "prefix", CodeShadowed, "queue %q has the same host %q and prefix %q; change one", other, queue.Host, queue.Prefix)
		} else {
			routes[route{queue.Host, queue.Prefix}] = queue.Name
		}
		if queue.Prefix != "" && !strings.HasPrefix(queue.Prefix, "/") {
			w.warn(key, "prefix", CodeUnused, "the prefix %q doesn't begin with a slash, so that no path matches it; add the slash", queue.Prefix)
		}
		if !queue.AllowAnonymous && !hasKeys {
			w.warn(key, "", CodeUnused, "it needs an API key, and no account has one; add a key or allow anonymous requests")
		}
		w.checkLimits(key, queue)
	}
}

func (w *workChecker) checkLimits(key anvilconfig.Key, queue anvilwork.Queue) {
	if !w.config.HasService(queue.Policy.Service) {
		w.add(SeverityError, key, "service", CodeUnknown, "service %q isn't configured; add it or name another one", queue.Policy.Service)
	}
	if queue.Timeout <= 0 {
		w.add(SeverityError, key, "timeout", CodeBadLimit, "the timeout is %d ms; use 1 or more", queue.Timeout)
	}
	if queue.Policy.Attempts < 1 {
		w.warn(key, "attempts", CodeBadLimit, "the number of attempts is %d and counts as 1; use 1 or more", queue.Policy.Attempts)
	}
	advice := queue.Policy.Advice
	if !advice.Needed() && (advice.BaseLatency > 0 || advice.LatencyPerTarget > 0) {
		w.warn(key, "advice", CodeConflict, "the advice service has a latency but its tickets are never valid, so it is not asked; set the validity or remove the latency")
	}
	if slowest := slowestAdvice(queue.Policy.Advice); advice.Needed() && queue.Timeout > 0 && slowest >= queue.Timeout {
		w.warn(key, "timeout", CodeConflict, "the advice service may take %d ms for one target, and requests time out after %d ms; raise the timeout", slowest, queue.Timeout)
	}
}

// slowestAdvice returns how long the advice service may take for a request with one target.
func slowestAdvice(advice anvilwork.Advice) anvilclock.Millis {
	return advice.BaseLatency + advice.LatencyPerTarget
}

func (w *workChecker) checkServices() {
	seen := map[anvilid.ServiceName]bool{}
	for _, service := range w.config.Services {
		key := anvilconfig.Key{Kind: anvilconfig.KindService, Name: anvilid.ObjectName(service.Name)}
		if seen[service.Name] {
			w.add(SeverityError, key, "name", CodeRepeated, "the service appears twice; list it once")
			continue
		}
		seen[service.Name] = true
		if !slices.ContainsFunc(w.config.Queues, func(queue anvilwork.Queue) bool { return queue.Policy.Service == service.Name }) {
			w.warn(key, "", CodeUnused, "no queue sends tasks to the service; add a queue or remove the service")
		}
		if w.fleet != nil && w.fleet[service.Name].Targets == 0 {
			w.warn(key, "", CodeUnused, "the service has no targets, so its jobs wait; start targets of it")
		}
	}
}

func (w *workChecker) checkAccounts() {
	owners := map[string]anvilid.AccountID{}
	names := map[anvilid.AccountID]bool{}
	guaranteed := anvilid.AcceleratorCount(0)
	for _, account := range w.config.Accounts {
		key := anvilconfig.Key{Kind: anvilconfig.KindAccount, Name: anvilid.ObjectName(account.Name)}
		if names[account.Name] {
			w.add(SeverityError, key, "name", CodeRepeated, "two accounts have this name; rename one")
		}
		names[account.Name] = true
		guaranteed += account.Guaranteed
		for i, secret := range account.Keys {
			other, taken := owners[secret]
			switch {
			case !taken:
				owners[secret] = account.Name
			case other == account.Name:
				w.warn(key, "keys", CodeRepeated, "its key %d is listed twice; list it once", i+1)
			default:
				// The text leaves out the key, because it is a secret.
				w.add(SeverityError, key, "keys", CodeSharedKey, "its key %d is also a key of account %q; remove it from one", i+1, other)
			}
		}
		if len(account.Keys) == 0 {
			w.warn(key, "keys", CodeUnused, "the account has no key, so that nobody can use it; add one or remove the account")
		}
	}
	w.checkGuaranteed(guaranteed)
}

func (w *workChecker) checkGuaranteed(guaranteed anvilid.AcceleratorCount) {
	if w.fleet == nil {
		return
	}
	total := anvilid.AcceleratorCount(0)
	for _, capacity := range w.fleet {
		total += capacity.Accelerators
	}
	if guaranteed > total {
		w.warn(anvilconfig.Key{}, "guaranteed", CodeOvercommit, "%d accelerators are guaranteed, and all targets have %d; lower the guarantees or add targets", guaranteed, total)
	}
}
