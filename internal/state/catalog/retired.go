package catalog

// maxRetiredBoots limits the boot IDs that may not announce again. At 5,700
// restarts a day they cover almost three days; a late duplicate of an
// announcement arrives within seconds.
const maxRetiredBoots = 16_384

// retiredBoots holds the boot IDs of members that left or were replaced, oldest
// first. A late duplicate of their announcement must not replace a newer
// incarnation.
type retiredBoots struct {
	order []BootID
	set   map[BootID]bool
}

func (r *retiredBoots) add(boot BootID) {
	r.order = append(r.order, boot)
	r.set[boot] = true

	if len(r.order) > maxRetiredBoots {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
}
