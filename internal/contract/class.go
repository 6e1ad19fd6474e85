// Package contract defines the terms shared by callers, operators and nodes:
// request kinds, priority classes, verdicts, reasons, order ids and the
// headers that carry them. It has no state and does no I/O.
package contract

import "github.com/cockroachdb/errors"

// Class is the priority class of a request. Higher values are shed later.
type Class uint8

// The classes, lowest priority first.
const (
	// ClassLookup is for idempotent reads that can wait a little.
	ClassLookup Class = iota
	// ClassCheck is for route checks and other reads that a person waits for.
	ClassCheck
	// ClassOrder is for cut orders and confirmations. It is shed last.
	ClassOrder

	// NumClasses is the number of classes, for arrays indexed by Class.
	NumClasses = 3
)

var classNames = [NumClasses]string{"lookup", "check", "order"}

// String returns the name of the class as written in the catalogue, or
// "unknown".
func (c Class) String() string {
	if int(c) >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass parses the name of a class as written in the catalogue.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if s == name {
			return Class(i), nil
		}
	}
	return 0, errors.Newf("class %q: want lookup, check or order", s)
}

// RanksPerClass is the number of ranks within a class.
const RanksPerClass = 1024

// Level is a priority level: it orders requests for shedding by class, then by
// rank within the class. A request is shed if its level is below the current
// threshold. A threshold of 0 sheds nothing.
type Level uint16

// MaxLevel is the threshold that sheds everything.
const MaxLevel Level = NumClasses * RanksPerClass

// LevelOf returns the level of a request of the given class and rank. A rank out
// of range counts as the highest one.
func LevelOf(c Class, rank uint16) Level {
	if rank >= RanksPerClass {
		rank = RanksPerClass - 1
	}
	return Level(uint16(c)*RanksPerClass + rank)
}

// Class returns the class of the level; that of MaxLevel is ClassOrder.
func (l Level) Class() Class {
	if l >= MaxLevel {
		return ClassOrder
	}
	return Class(l / RanksPerClass)
}
