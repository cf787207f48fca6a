package document

import (
	"fmt"
	"strconv"

	"jayspindle/internal/state/view"
)

// ChangeKind is the type of a change to a service, a class or one of their fields.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents. Class is empty for changes
// of the service, and Field for added and removed services and classes.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Service string     `json:"service"`
	Class   string     `json:"class,omitempty"`
	Field   string     `json:"field,omitempty"`
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// String returns the change as a sentence without a full stop.
func (c Change) String() string {
	subject := "service " + c.Service
	if c.Class != "" {
		subject += ", class " + c.Class
	}

	if c.Field == "" {
		return fmt.Sprintf("%s %s", subject, c.Kind)
	}

	return fmt.Sprintf("%s: %s %s from %s to %s", subject, c.Field, c.Kind, c.Old, c.New)
}

// Diff returns the changes that lead from old to next: removed services
// first, then the services of next in their order. A nil document counts as one
// without services.
func Diff(old, next *Document) []Change {
	var before, after []view.Service
	if old != nil {
		before = old.services
	}

	if next != nil {
		after = next.services
	}

	return diffItems(before, after,
		func(s *view.Service) string { return s.Name },
		func(kind ChangeKind, s *view.Service) Change { return Change{Kind: kind, Service: s.Name} },
		diffService)
}

// diffItems compares two lists of named items.
func diffItems[T any](
	old, next []T, name func(*T) string, wholeChange func(ChangeKind, *T) Change, diffFields func(a, b *T) []Change,
) []Change {
	var changes []Change

	before, after := indexByName(old, name), indexByName(next, name)

	for i := range old {
		if after[name(&old[i])] == nil {
			changes = append(changes, wholeChange(Removed, &old[i]))
		}
	}

	for i := range next {
		if previous := before[name(&next[i])]; previous != nil {
			changes = append(changes, diffFields(previous, &next[i])...)
		} else {
			changes = append(changes, wholeChange(Added, &next[i]))
		}
	}

	return changes
}

func indexByName[T any](items []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(items))
	for i := range items {
		index[name(&items[i])] = &items[i]
	}

	return index
}

func diffService(a, b *view.Service) []Change {
	fields := fieldList{base: Change{Kind: Changed, Service: a.Name}}
	fields.compare("address", a.Address.String(), b.Address.String())
	fields.compare("key", FormatKey(a.PublicKey), FormatKey(b.PublicKey))
	fields.compare("slots", formatNumber(a.Slots), formatNumber(b.Slots))
	fields.compare("connections", formatNumber(a.Connections), formatNumber(b.Connections))
	fields.compare("buckets", formatNumber(a.Buckets), formatNumber(b.Buckets))
	fields.compare("first_packets", formatRate(a.Limits.FirstPackets), formatRate(b.Limits.FirstPackets))
	fields.compare("first_packets_per_source",
		formatRate(a.Limits.FirstPacketsPerSource), formatRate(b.Limits.FirstPacketsPerSource))

	classes := diffItems(a.Classes, b.Classes,
		func(c *view.Class) string { return c.Name },
		func(kind ChangeKind, c *view.Class) Change { return Change{Kind: kind, Service: a.Name, Class: c.Name} },
		func(x, y *view.Class) []Change { return diffClass(a.Name, x, y) })

	return append(fields.changes, classes...)
}

func diffClass(service string, a, b *view.Class) []Change {
	fields := fieldList{base: Change{Kind: Changed, Service: service, Class: a.Name}}
	fields.compare("method", a.Method, b.Method)
	fields.compare("path", a.PathPrefix, b.PathPrefix)
	fields.compare("urgency", formatNumber(a.Urgency), formatNumber(b.Urgency))
	fields.compare("idempotent", strconv.FormatBool(a.Idempotent), strconv.FormatBool(b.Idempotent))
	fields.compare("deadline", a.Deadline.String(), b.Deadline.String())
	fields.compare("min_share", formatNumber(a.MinSharePercent)+"%", formatNumber(b.MinSharePercent)+"%")
	fields.compare("feed", strconv.FormatBool(a.Feed), strconv.FormatBool(b.Feed))

	return fields.changes
}

// fieldList collects the changed fields of one service or class.
type fieldList struct {
	base    Change
	changes []Change
}

func (f *fieldList) compare(field, old, next string) {
	if old == next {
		return
	}

	change := f.base
	change.Field, change.Old, change.New = field, old, next
	f.changes = append(f.changes, change)
}

func formatNumber[T uint8 | uint16 | uint32](value T) string {
	return strconv.FormatUint(uint64(value), 10)
}

func formatRate(value uint32) string {
	if value == 0 {
		return "unlimited"
	}

	return formatNumber(value) + "/s"
}
