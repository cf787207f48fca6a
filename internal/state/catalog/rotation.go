package catalog

// Rotations returns how often the fabric key of an environment was rotated,
// which a RotateKey command states.
func (c *Catalog) Rotations(environment string) uint64 {
	if env, ok := c.environments[environment]; ok {
		return env.rotations
	}

	return 0
}
