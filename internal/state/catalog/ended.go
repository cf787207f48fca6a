package catalog

// keptEnded bounds the boot IDs that may not announce again. 5,700
// restarts a day reach back almost three days; a late duplicate of an
// announcement arrives within seconds.
const keptEnded = 16_384

// ended remembers the boot IDs that left or were replaced, oldest first. A
// late duplicate of their announcement must not replace a newer incarnation.
type ended struct {
	order []BootID
	set   map[BootID]bool
}

func (e *ended) add(boot BootID) {
	e.order = append(e.order, boot)
	e.set[boot] = true

	if len(e.order) > keptEnded {
		delete(e.set, e.order[0])
		e.order = e.order[1:]
	}
}
