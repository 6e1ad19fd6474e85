package scheduler

import (
	"time"

	"heathershed/internal/contract"
)

// treeService gives the slots of the upstreams of a service, and their speeds. With
// all slots in use they are slower by the factor knee, if it is above 1.
type treeService struct {
	name   string
	slots  int
	speeds []float64
	knee   float64
}

// treeLayout is a deployment with its load, in requests a second. Each lookup makes
// perTree calls of the last service, each order perOrder.
type treeLayout struct {
	services            []treeService
	lookup, order, file *treeKind
	details             *treeKind
	perTree, perOrder   float64
	quiet, lookups      float64 // lookups before treeStart, and from then on
	orders, files       float64
}

// deepTrees is a layout of lookups that make ten calls one after the other.
func deepTrees() treeLayout {
	details := &treeKind{name: "details", nested: true, service: "last", work: 64 * time.Millisecond, timeout: 700 * time.Millisecond}
	sync := &treeKind{name: "sync", nested: true, service: "third", work: 15 * time.Millisecond, timeout: 2500 * time.Millisecond, calls: []*treeKind{details, details, details, details, details}}
	status := &treeKind{name: "status", nested: true, service: "second", work: 15 * time.Millisecond, timeout: 3 * time.Second, calls: []*treeKind{sync}}
	return treeLayout{
		services: []treeService{
			{"first", 96, []float64{1, 1, 1, 1}, 1},
			{"second", 109, []float64{1, 1, 1}, 1},
			{"third", 200, []float64{1, 1}, 1},
			{"last", 36, []float64{0.7, 1, 1, 1.3}, 1},
		},
		lookup:  &treeKind{name: "lookup", service: "first", class: contract.ClassLookup, work: 250 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []*treeKind{status, status}},
		order:   &treeKind{name: "order", service: "second", class: contract.ClassOrder, work: 330 * time.Millisecond, timeout: 2 * time.Second, calls: []*treeKind{sync}},
		file:    &treeKind{name: "file", service: "last", class: contract.ClassCheck, work: 100 * time.Millisecond, timeout: 800 * time.Millisecond},
		details: details, perTree: 10, perOrder: 5,
		quiet: 100, lookups: 320, orders: 55, files: 45,
	}
}

// smallLast is a layout whose last service has three upstreams of twenty slots that
// are slower with all of them in use.
func smallLast() treeLayout {
	details := &treeKind{name: "details", nested: true, service: "last", work: 22 * time.Millisecond, timeout: 700 * time.Millisecond}
	manifest := &treeKind{name: "manifest", nested: true, service: "third", work: 15 * time.Millisecond, timeout: 2 * time.Second, calls: []*treeKind{details, details, details, details}}
	check := &treeKind{name: "check", nested: true, service: "second", work: 15 * time.Millisecond, timeout: 2500 * time.Millisecond, calls: []*treeKind{manifest}}
	return treeLayout{
		services: []treeService{
			{"first", 89, []float64{0.5, 1, 1, 1.5, 1}, 1},
			{"second", 112, []float64{1, 1, 1, 1.5}, 1},
			{"third", 149, []float64{0.7, 0.7, 1.6}, 1},
			{"last", 20, []float64{0.7, 0.7, 1.6}, 1.3},
		},
		lookup:  &treeKind{name: "lookup", service: "first", class: contract.ClassLookup, work: 90 * time.Millisecond, timeout: 5 * time.Second, calls: []*treeKind{check}},
		order:   &treeKind{name: "order", service: "second", class: contract.ClassOrder, work: 120 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []*treeKind{manifest, manifest}},
		file:    &treeKind{name: "file", service: "last", class: contract.ClassLookup, work: 72 * time.Millisecond, timeout: time.Second},
		details: details, perTree: 4, perOrder: 8,
		quiet: 196, lookups: 480, orders: 130, files: 35,
	}
}

// fits returns the number of lookups that fit in a window beside the other requests,
// with no upstream slowed down.
func (l treeLayout) fits() float64 {
	last := l.services[len(l.services)-1]
	capacity := 0.0
	for _, speed := range last.speeds {
		capacity += float64(last.slots) * speed
	}
	work := l.details.work.Seconds()
	left := capacity - l.orders*l.perOrder*work - l.files*l.file.work.Seconds()
	return left / work / l.perTree * treeWindow.Seconds()
}
