// Package report defines the JSON types of a node's operator endpoint. The node
// fills them; the operators' command reads them. Fields are only ever added, so
// that a command can read nodes of another version.
package report

import "time"

// Paths of a node's operator endpoint.
const (
	// PathReport responds with a Node.
	PathReport = "/report"
	// PathTimeline responds with events as JSON lines. The optional query
	// parameter "since" is the stamp after which they start.
	PathTimeline = "/timeline"
	// PathDrain, by POST, starts a graceful shutdown and responds with a
	// DrainAnswer.
	PathDrain = "/drain"
	// PathMetrics responds with metrics in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathVersion responds with a VersionAnswer.
	PathVersion = "/version"
	// PathMembers responds with a list of Member.
	PathMembers = "/members"
	// PathCatalogue responds with the active catalogue document as stored, and
	// with its version in HeaderCatalogueVersion.
	PathCatalogue = "/catalogue"
	// HeaderCatalogueVersion is the header with the version of the active
	// document.
	HeaderCatalogueVersion = "Heathershed-Catalogue-Version"
)

// States of a VM, in Node.State and Member.State.
const (
	StateStarting = "starting"
	StateUp       = "up"
	StateLeaving  = "leaving"
	StateLeft     = "left"
	StateLapsed   = "lapsed" // its lease has expired
)

// Node is the report of one node.
type Node struct {
	// Version is the version of the program.
	Version string `json:"version"`
	// VM, Datacentre, Region and Service are from the node's settings.
	VM         string `json:"vm"`
	Datacentre string `json:"datacentre"`
	Region     string `json:"region"`
	Service    string `json:"service"`
	// Incarnation increases with every start of the VM.
	Incarnation uint64 `json:"incarnation"`
	// State is one of the states above.
	State string `json:"state"`
	// Now is the node's wall clock at the time of the report.
	Now time.Time `json:"now"`
	// UptimeSeconds is the time since the process started.
	UptimeSeconds float64 `json:"uptime_seconds"`
	// Superseded reports that another process has replaced this one.
	Superseded bool `json:"superseded,omitempty"`

	Catalogue Catalogue `json:"catalogue"`
	Homes     Homes     `json:"homes"`
	Members   Members   `json:"members"`
	// Upstreams lists every upstream that this node knows, by service and VM.
	Upstreams []Upstream `json:"upstreams"`
	Admission Admission  `json:"admission"`
	Store     Store      `json:"store"`
	Links     Links      `json:"links"`
	// RingsRefused counts the values rejected by full rings since the start, by
	// the name of the ring.
	RingsRefused map[string]uint64 `json:"rings_refused,omitempty"`
}

// Catalogue is the state of the catalogue at one node.
type Catalogue struct {
	// Version is the active version; 0 is the empty catalogue.
	Version uint64 `json:"version"`
	// EditID and Author identify the edit that created it.
	EditID string `json:"edit_id,omitempty"`
	Author string `json:"author,omitempty"`
	// Kinds is the number of entries.
	Kinds int `json:"kinds"`
	// Refused lists the newest documents that the node rejected.
	Refused []RefusedCatalogue `json:"refused,omitempty"`
}

// RefusedCatalogue is a catalogue document that a node rejected.
type RefusedCatalogue struct {
	// Version is 0 if the document can't be decoded.
	Version uint64 `json:"version"`
	Error   string `json:"error"`
}

// Homes is the state of the document with the home nodes of orders at one node,
// see package order/homes.
type Homes struct {
	Version uint64 `json:"version"`
	// Confirmed is the time at which the document was last known to be the
	// newest.
	Confirmed time.Time `json:"confirmed"`
	// IsHome reports that this VM is currently a home node of its service.
	IsHome bool `json:"is_home"`
}

// Members counts the VMs that the node knows.
type Members struct {
	// ByState counts all known VMs, by state.
	ByState map[string]int `json:"by_state"`
	// Digest is equal on nodes that agree on all live VMs.
	Digest uint64 `json:"digest"`
	// Watcher reports that this node watches the store for its data centre.
	Watcher bool `json:"watcher"`
}

// States of an upstream, in Upstream.State.
const (
	UpstreamIn      = "in"      // can be chosen
	UpstreamCold    = "cold"    // warming up: can be chosen for part of its slots
	UpstreamOut     = "out"     // not chosen
	UpstreamUnknown = "unknown" // known from the member list only
)

// Upstream is an upstream as seen by a node.
type Upstream struct {
	Service    string `json:"service"`
	VM         string `json:"vm"`
	Datacentre string `json:"datacentre"`
	// State is one of the states above.
	State string `json:"state"`
	// Reason is why the state is not UpstreamIn.
	Reason string `json:"reason,omitempty"`
	// InFlight is the number of calls of this node that run there.
	InFlight int `json:"in_flight"`
	// LatencyMs is the recent latency of calls from this node, in milliseconds.
	LatencyMs float64 `json:"latency_ms,omitempty"`
}

// Admission is the state of admission to the local upstream.
type Admission struct {
	// Slots is the upper bound of Limit that the upstream announced.
	Slots int `json:"slots"`
	// Limit is the current limit of calls in flight.
	Limit int `json:"limit"`
	// InFlight and Queued are current numbers of calls.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Level is the active threshold: calls of a lower priority level are shed.
	Level int `json:"level"`
	// LevelClass is the class that Level belongs to. All calls of lower classes
	// are shed.
	LevelClass string `json:"level_class"`
	// Admitted counts the calls admitted since the start, by class.
	Admitted map[string]uint64 `json:"admitted,omitempty"`
	// Shed counts the calls shed since the start.
	Shed []Shed `json:"shed,omitempty"`
}

// Shed counts the calls of a class that were shed for one reason.
type Shed struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Store is the node's view of the platform's store.
type Store struct {
	// LastAnswer is the time of the store's last response; zero if none.
	LastAnswer time.Time `json:"last_answer"`
	// Down reports that the most recent call failed.
	Down bool `json:"down"`
	// LastError is the most recent error, also after the store has recovered.
	LastError string `json:"last_error,omitempty"`
	// Reads, Writes and Watches count calls since the start.
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Links counts the node's links to other nodes.
type Links struct {
	Up int `json:"up"`
	// Silent is the number of links whose peer is unresponsive.
	Silent int `json:"silent"`
	// BytesSent and BytesReceived count the control traffic since the start.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// Member is one VM in the response to PathMembers.
type Member struct {
	VM         string `json:"vm"`
	Service    string `json:"service"`
	Datacentre string `json:"datacentre"`
	Region     string `json:"region,omitempty"`
	// AdminAddress is the ip:port of the VM's operator endpoint.
	AdminAddress string `json:"admin_address"`
	State        string `json:"state"`
}

// DrainAnswer is the response to PathDrain.
type DrainAnswer struct {
	VM string `json:"vm"`
	// State is StateLeaving once the shutdown has begun.
	State string `json:"state"`
	// InFlight is the number of calls that the shutdown waits for.
	InFlight int `json:"in_flight"`
}

// VersionAnswer is the response to PathVersion.
type VersionAnswer struct {
	VM      string `json:"vm"`
	Version string `json:"version"`
}
