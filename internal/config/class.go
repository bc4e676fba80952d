package config

import (
	"strings"
	"time"

	"sorrelrudder/policy"
)

// The values of the key effect, which states the effect of repeating a request.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
)

// idempotencies maps the values of the key effect to the idempotency of a class.
var idempotencies = map[string]policy.Idempotency{
	effectSafe:   policy.Idempotent,
	effectKeyed:  policy.IdempotentByKey,
	effectUnsafe: policy.NonIdempotent,
}

// effectOf returns the value of the key effect for an idempotency.
func effectOf(i policy.Idempotency) string {
	return [...]string{policy.Idempotent: effectSafe, policy.IdempotentByKey: effectKeyed, policy.NonIdempotent: effectUnsafe}[i]
}

// dedupScopes maps the values of the key repeats_dropped_by to the dedup scope of a class.
var dedupScopes = map[string]policy.DedupScope{"all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell}

// classes reads the classes of a pool that uses the platform's protocol.
func (r *reader) classes(s *section, c *policy.Config, tables []*section) {
	if len(tables) == 0 {
		r.fail(s.nodeAt("classes"), "at least one class is required: the class of a request says whether repeating the request is safe")
	}
	seen := map[string]bool{}
	for _, t := range tables {
		class := r.class(t)
		c.Classes = append(c.Classes, class)
		if seen[class.Name] {
			r.fail(t.nodeAt("name"), "duplicate class %q", class.Name)
		}
		seen[class.Name] = true
	}
}

// class reads the table of one class.
func (r *reader) class(s *section) policy.Class {
	c := policy.Class{Name: s.requiredText("name")}
	if strings.ContainsAny(c.Name, "/%?# ") {
		r.fail(s.nodeAt("name"), "class %q cannot be the first segment of a path: it must not contain /, %%, ?, # or a space", c.Name)
	}
	r.classAttributes(s, &c, "")
	s.finish()
	return c
}

// classAttributes reads the settings of a class other than its name. If defaultEffect is empty, the key effect is required.
func (r *reader) classAttributes(s *section, c *policy.Class, defaultEffect string) {
	effect := s.choice("effect", defaultEffect, effectSafe, effectKeyed, effectUnsafe)
	c.Idempotency = idempotencies[effect]
	c.LatencyObjective = s.duration("aim", 300*time.Millisecond, time.Millisecond, day)
	c.Deadline = s.duration("deadline", max(time.Second, c.LatencyObjective), time.Millisecond, day)
	if c.Deadline < c.LatencyObjective {
		r.fail(s.nodeAt("deadline"), "%v is less than the aim of %v", c.Deadline, c.LatencyObjective)
	}
	c.PriorityWeight = s.number("worth", 1, 0, 1e9)
	c.LateWeightFraction = s.number("late_share", 0.3, 0, 1)
	if effect == effectKeyed {
		r.dedup(s, c)
		return
	}
	for _, key := range []string{"repeats_dropped_by", "repeats_dropped_for", "repeats_dropped_at_both_sites"} {
		if n := s.get(key); n != nil {
			r.fail(n, "allowed only for a class with effect = \"keyed\"")
		}
	}
}

// dedup reads the dedup scope and window of a keyed class: which servers drop repeated requests, and for how long.
func (r *reader) dedup(s *section, c *policy.Class) {
	c.DedupScope = dedupScopes[s.choice("repeats_dropped_by", "all", "all", "zone", "cell")]
	c.DedupWindow = s.duration("repeats_dropped_for", 30*time.Second, 0, day)
	if !s.boolean("repeats_dropped_at_both_sites", false) {
		return
	}
	if c.DedupScope != policy.DedupEverywhere {
		r.fail(s.nodeAt("repeats_dropped_at_both_sites"), "requires repeats_dropped_by = \"all\"")
	}
	r.sharedDedupClasses = append(r.sharedDedupClasses, c.Name)
}
