// Package catalogue holds the operators' catalogue of request kinds: its text
// format, its validation, the version in force at a node, and the edits.
//
// The catalogue is one object in the platform's store, a Document with a
// version that grows by one with each accepted edit. An Editor replaces it by
// a conditional update, so two operators can't overwrite each other. Each edit
// carries an id of its own, by which an edit whose answer was lost is found
// again, so that it is applied once and reported as it ended.
//
// Nodes pass documents on to each other. A Holder adopts only higher versions
// that are valid as a whole, so the version in force at a node never goes
// back. A Bootstrap keeps a fresh process from putting a version in force that its
// data centre has already left behind.
package catalogue
