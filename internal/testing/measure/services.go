package measure

// Services returns the four services of both deployments: the main services,
// which Deployments returns, and a smaller one per deployment. The smaller
// services have the classes of the main one, so that the same floods are
// measured with fewer backend servers.
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
