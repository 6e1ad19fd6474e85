// Package membership implements a node's view of the VMs that exist, and the
// rules by which the views of different nodes converge.
//
// Each VM announces itself by a record. Records are gossiped between the nodes
// without the platform's store. The newer record wins: that of the higher
// incarnation, and within one incarnation the one renewed later, see Newer.
// Records may arrive in any order, repeatedly or late, and all views end up the
// same. Only the VM itself creates its records, except for the one that declares
// its lease expired.
//
// A VM also renews a long lease in the store, and the watchers of each data
// centre see the renewals there. A watcher that got a response from the store
// to every call for a whole lease, and neither saw a renewal nor had other
// contact with the VM, declares the lease expired. A store that does not respond
// is never taken as evidence that a VM has failed. A VM that is alive refutes
// the expiry with a higher sequence. A renewal keeps the sequence, so it is not
// gossiped and causes no traffic between nodes.
//
// A view says which VMs exist, not which of them respond right now: that is
// detected by links and calls, within seconds and without the store.
package membership
