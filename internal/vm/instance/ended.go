package instance

import "slices"

// maxEnded bounds the ended instances that are remembered.
const maxEnded = 64

// endedInstance is an instance that was replaced or has deregistered.
type endedInstance struct {
	identity     string
	deregistered bool
}

// endedInstances are the instances that have ended, oldest first. One that was replaced
// may be there still: another writer may have named its successor. One that has
// deregistered is not.
type endedInstances []endedInstance

// add adds an instance, and drops the oldest if there are too many.
func (e *endedInstances) add(identity string, deregistered bool) {
	if identity == "" {
		return
	}
	if i := e.index(identity); i >= 0 {
		(*e)[i].deregistered = (*e)[i].deregistered || deregistered
		return
	}
	if len(*e) == maxEnded {
		*e = (*e)[1:]
	}
	*e = append(*e, endedInstance{identity, deregistered})
}

// forget removes an instance that was replaced.
func (e *endedInstances) forget(identity string) {
	*e = slices.DeleteFunc(*e, func(i endedInstance) bool { return i.identity == identity && !i.deregistered })
}

// forgetID removes the replaced instances of an id: it has just answered.
func (e *endedInstances) forgetID(id string) {
	*e = slices.DeleteFunc(*e, func(i endedInstance) bool { return IDOf(i.identity) == id && !i.deregistered })
}

func (e endedInstances) index(identity string) int {
	return slices.IndexFunc(e, func(i endedInstance) bool { return i.identity == identity })
}

func (e endedInstances) has(identity string) bool { return e.index(identity) >= 0 }

// deregisterID records that the instances of an id have deregistered, and reports whether
// there is one.
func (e endedInstances) deregisterID(id string) (known bool) {
	for i := range e {
		if IDOf(e[i].identity) == id {
			e[i].deregistered, known = true, true
		}
	}
	return known
}

func (e endedInstances) deregistered(identity string) bool {
	return slices.Contains(e, endedInstance{identity, true})
}

// left reports whether an instance has deregistered. A deregistration may name the id
// alone, and so may the instance: then any start of that id that has deregistered counts.
func (e endedInstances) left(identity string) bool {
	id := IDOf(identity)
	return slices.ContainsFunc(e, func(i endedInstance) bool {
		return i.deregistered && (i.identity == identity || i.identity == id || identity == IDOf(i.identity))
	})
}
