// Package catalogue implements the operators' catalogue of request kinds: its
// text format, its validation, the active version at a node, and edits.
//
// The catalogue is a single object in the platform's store: a Document whose
// version increases by one with each accepted edit. An Editor replaces it with
// a conditional write, so that two operators can't overwrite each other's
// changes. Each edit has its own id. When the store's answer to a write is
// lost, the id shows whether the edit is among the accepted ones, so that a
// repeated edit is applied once and its real outcome is reported.
//
// Nodes forward documents to each other. A Holder adopts a document only if its
// version is higher than the active one and its whole content is valid, so the
// active version at a node never decreases. A Bootstrap keeps a newly started
// process from activating a version that its data centre has already
// superseded.
package catalogue
