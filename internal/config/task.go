package config

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpservice"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/policy"
)

// taskLeasePrefix precedes the name of a task in the name of its lease.
const taskLeasePrefix = "task/"

// missedPolicies maps the values of the key missed to the policy for missed runs.
var missedPolicies = map[string]task.MissedPolicy{"skip": task.MissedSkip, "once": task.MissedRunNewest, "each": task.MissedRunEach}

// readTasks reads the tasks of the fleet. maxOpen is the maximum number of tasks that run at the same time, or 0 for no limit.
func (f *File) readTasks(r *reader, c *fleet.Config, maxOpen int) {
	seen := map[string]bool{}
	for _, s := range f.root.tables("tasks") {
		t := r.task(s, f.Gateway.Pools)
		t.MaxClockDrift, t.MaxOpen = c.LeaseTiming.MaxClockDrift, maxOpen
		if seen[t.Name] && t.Name != "" {
			r.fail(s.nodeAt("name"), "duplicate task %q", t.Name)
		}
		seen[t.Name] = true
		c.Tasks = append(c.Tasks, t)
	}
	if len(c.Tasks) > task.MaxTasks {
		r.fail(f.root.nodeAt("tasks"), "%d tasks are configured, more than the maximum of %d", len(c.Tasks), task.MaxTasks)
	}
}

// task reads one task. It takes the idempotency and the dedup window from the class of the task's request in the pool.
func (r *reader) task(s *section, pools []gateway.Pool) fleet.Task {
	t := fleet.Task{
		Pool:   s.requiredText("pool"),
		Path:   s.requiredText("path"),
		Tenant: s.text("tenant", ""),
		Body:   s.text("body", ""),
	}
	t.Name = s.requiredText("name")
	t.Interval = s.duration("every", 24*time.Hour, 10*time.Millisecond, 366*day)
	t.Offset = s.duration("at", 0, 0, day)
	t.Spread = s.duration("spread", 0, 0, 366*day)
	t.Missed = missedPolicies[s.choice("missed", "once", "skip", "once", "each")]
	t.Deadline = s.duration("deadline", time.Second, time.Millisecond, time.Hour)
	t.MaxAttempts = int(s.integer("tries", 3, 1, 100))
	t.Method = s.choice("method", http.MethodPost, http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	t.Host = s.text("host", "")
	t.Priority = int(s.integer("priority", 0, -100, 100))
	if s.has("budget") {
		b := s.table("budget")
		t.Budget = task.Budget{
			Period:         b.duration("per", 24*time.Hour, time.Second, 366*day),
			MaxRequests:    b.integer("requests", 0, 0, 1<<40),
			MaxRequestTime: b.duration("time", 0, 0, 366*day),
		}
		b.finish()
	}
	s.finish()
	if len(t.Name) > lease.MaxNameLen-len(taskLeasePrefix) || strings.ContainsAny(t.Name, "\r\n/") {
		r.fail(s.nodeAt("name"), "%q is not allowed as the name of a task: it is too long, or contains / or a line break", t.Name)
	}
	if t.Path != "" && (!strings.HasPrefix(t.Path, "/") || strings.ContainsAny(t.Path, " \r\n")) {
		r.fail(s.nodeAt("path"), "invalid path %q; expected a path that begins with / and has no space or line break", t.Path)
	}
	r.taskClass(s, &t, pools)
	return t
}

// taskClass finds the class of a task's request in the task's pool, and validates the task against the class.
func (r *reader) taskClass(s *section, t *fleet.Task, pools []gateway.Pool) {
	pool := slices.IndexFunc(pools, func(p gateway.Pool) bool { return p.Name == t.Pool })
	if pool < 0 {
		if t.Pool != "" {
			r.checkKnown(s.nodeAt("pool"), "pool", t.Pool, poolNames(pools))
		}
		return
	}
	className, _, _ := strings.Cut(strings.TrimPrefix(t.Path, "/"), "/")
	if d, ok := pools[pool].Dialect.(*httpservice.Dialect); ok {
		// The pool's rules select the class, as for a client's request with the same method, host and path. The request has an idempotency
		// key, because tasks of a keyed class always send one.
		path, _, _ := strings.Cut(t.Path, "?")
		className = d.ClassName(t.Method, cmp.Or(t.Host, t.Pool), path, http.Header{"Idempotency-Key": {"a task's"}})
		t.Plain = true
	} else if t.Host != "" {
		r.fail(s.nodeAt("host"), "allowed only for pools with protocol = \"http\": pool %q has another protocol", t.Pool)
	}
	classes := pools[pool].Settings.Config.Classes
	index := -1
	for i := range classes {
		if classes[i].Name == className {
			index = i // the last class of that name
		}
	}
	if index < 0 {
		r.checkKnown(s.nodeAt("path"), "class", className, classNames(classes))
		return
	}
	class := &classes[index]
	t.Idempotency, t.DedupWindow = task.Idempotency(class.Idempotency), class.DedupWindow
	t.DedupEverywhere = class.DedupScope == policy.DedupEverywhere
	if !t.Plain && (class.Idempotency == policy.Idempotent) != (t.Method == http.MethodGet) {
		r.fail(s.nodeAt("method"), "%s is not allowed for class %q, which is %s: safe classes require GET, and all other classes require another method", t.Method, className, effectOf(class.Idempotency))
	}
	if err := t.Validate(); err != nil {
		r.fail(s.node, "%v", err)
	}
}

func poolNames(pools []gateway.Pool) []string {
	var names []string
	for _, p := range pools {
		names = append(names, p.Name)
	}
	return names
}

func classNames(classes []policy.Class) []string {
	var names []string
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}
