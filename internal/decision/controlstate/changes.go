package controlstate

// Changes lists the objects that changed between two calls of TakeChanges, each once and in the order of its first change.
type Changes struct {
	All           bool     // the state was restored from a snapshot: anything may have changed, and the lists below are empty
	Configuration bool     // the inventory, the rules or the zones out of service
	Tasks         []TaskID // changed or removed
	Jobs          []string // added, changed or removed
	Workers       []string // changed or removed
	Endpoints     []string // changed or removed, or with changed grants
}

// Empty reports whether nothing changed.
func (c *Changes) Empty() bool {
	return !c.All && !c.Configuration && len(c.Tasks)+len(c.Jobs)+len(c.Workers)+len(c.Endpoints) == 0
}

// TakeChanges returns the changes since the last call and clears them.
func (s *State) TakeChanges() *Changes {
	log := s.changes
	s.changes = changeLog{}
	return &Changes{
		All:           log.all,
		Configuration: log.configuration,
		Tasks:         log.tasks.order,
		Jobs:          log.jobs.order,
		Workers:       log.workers.order,
		Endpoints:     log.endpoints.order,
	}
}

// changeLog accumulates changes. Its size is bounded by the number of objects, because each is listed once.
type changeLog struct {
	all           bool
	configuration bool
	tasks         orderedSet[TaskID]
	jobs          orderedSet[string]
	workers       orderedSet[string]
	endpoints     orderedSet[string]
}

// orderedSet is a set that keeps the order of insertion.
type orderedSet[K comparable] struct {
	seen  map[K]struct{}
	order []K
}

func (o *orderedSet[K]) add(key K) {
	if _, ok := o.seen[key]; ok {
		return
	}
	if o.seen == nil {
		o.seen = map[K]struct{}{}
	}
	o.seen[key] = struct{}{}
	o.order = append(o.order, key)
}
