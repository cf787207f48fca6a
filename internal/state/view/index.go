package view

// pageBits splits the space of service IDs into 256 pages of 256 services, so
// that a change to one service copies 8 KiB and not a map of all services.
const pageBits = 8

type agentPage [1 << pageBits][]Agent

// agentIndex holds the agents of each service by rising incarnation. It is
// immutable.
type agentIndex struct {
	pages [1 << (16 - pageBits)]*agentPage
}

func (x *agentIndex) of(service ServiceID) []Agent {
	page := x.pages[service>>pageBits]
	if page == nil {
		return nil
	}

	return page[service&(1<<pageBits-1)]
}

// with returns an index with the agents, which rise by incarnation, added.
func (x *agentIndex) with(agents []Agent) *agentIndex {
	added := make(map[ServiceID][]Agent)
	for _, agent := range agents {
		added[agent.Service] = append(added[agent.Service], agent)
	}

	return x.change(added, nil)
}

// change returns an index in which agents are upserted and removed by service.
func (x *agentIndex) change(upserted map[ServiceID][]Agent, removed map[ServiceID][]Incarnation) *agentIndex {
	next := *x
	copied := make(map[ServiceID]bool)

	update := func(service ServiceID) {
		number := service >> pageBits
		if !copied[number] {
			page := new(agentPage)
			if next.pages[number] != nil {
				*page = *next.pages[number]
			}

			next.pages[number], copied[number] = page, true
		}

		slot := &next.pages[number][service&(1<<pageBits-1)]
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
