package measure

// Services returns the four services of both deployments: the main ones of
// Deployments, and the small ones beside them. The small ones are given the
// work of the main service, so that a flood meets the same classes with fewer
// backend servers.
func Services() []Deployment {
	small := map[string]struct {
		name   string
		agents int
	}{
		"kitakyushu": {name: "sheet-desk", agents: 3},
		"magnolia":   {name: "cert-vault", agents: 4},
	}

	var services []Deployment

	for _, main := range Deployments() {
		second := main
		second.Service = small[main.Name].name
		second.Agents = small[main.Name].agents
		services = append(services, main, second)
	}

	return services
}
