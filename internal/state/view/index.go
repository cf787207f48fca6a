package view

// pageBits splits the service IDs into 256 pages of 256 services, so that a change
// to one service copies 8 KiB, one page (6 KiB) and the page table (2 KiB), and not
// a map of all services.
const pageBits = 8

type agentPage [1 << pageBits][]Agent

// agentIndex holds the agents of each service, sorted by incarnation. It is
// immutable.
type agentIndex struct {
	pages [1 << (16 - pageBits)]*agentPage
}

func (i *agentIndex) agents(service ServiceID) []Agent {
	page := i.pages[service>>pageBits]
	if page == nil {
		return nil
	}

	return page[service&(1<<pageBits-1)]
}

// withAgents returns an index to which the agents are added. They must be sorted by
// incarnation.
func (i *agentIndex) withAgents(agents []Agent) *agentIndex {
	added := make(map[ServiceID][]Agent)
	for _, agent := range agents {
		added[agent.Service] = append(added[agent.Service], agent)
	}

	return i.apply(added, nil)
}

// apply returns an index with the given agents of each service upserted or removed.
func (i *agentIndex) apply(upserted map[ServiceID][]Agent, removed map[ServiceID][]Incarnation) *agentIndex {
	next := *i
	copied := make(map[ServiceID]bool)

	update := func(service ServiceID) {
		pageNumber := service >> pageBits
		if !copied[pageNumber] {
			page := new(agentPage)
			if next.pages[pageNumber] != nil {
				*page = *next.pages[pageNumber]
			}

			next.pages[pageNumber], copied[pageNumber] = page, true
		}

		slot := &next.pages[pageNumber][service&(1<<pageBits-1)]
		*slot = merge(*slot, upserted[service], removed[service], agentKey)
	}

	for service := range upserted {
		update(service)
	}

	for service := range removed {
		if _, done := upserted[service]; !done {
			update(service)
		}
	}

	return &next
}
