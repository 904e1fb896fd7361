package mesh

import (
	"net/netip"
	"time"

	"github.com/shallotspool/shallotspool/core/route"
)

// MessageVersion is the version of the messages that this node sends. A node reads
// messages of all versions from 1 on and ignores the fields that it does not know.
const MessageVersion = 1

// MaxMessageBytes is the largest size of an encoded message. It is below the usual MTU of
// 1500 bytes.
const MaxMessageBytes = 1400

// Message is what nodes send to each other: a heartbeat, or one part of what a relay tells.
// It is encoded as a map with integer keys. Fields keep their keys in all versions.
type Message struct {
	Version uint8 `cbor:"1,keyasint"`
	// Heartbeat is the state of the sender, nil in messages of relays.
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	// Incarnation is that of the relay, DataCentre its data centre. Round numbers the times at
	// which it sent; all messages sent together have the same number.
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	DataCentre  string `cbor:"4,keyasint,omitempty"`
	Round       uint32 `cbor:"5,keyasint,omitempty"`
	// RefreshMS is the time, in milliseconds, within which all sums are sent again.
	RefreshMS uint32 `cbor:"6,keyasint,omitempty"`
	// Urgent is set if the receiver should plan anew without delay.
	Urgent bool `cbor:"7,keyasint,omitempty"`
	// Nodes is the number of nodes whose state the sums hold. Covered names the data centres
	// of these nodes; it is empty if that is DataCentre alone.
	Nodes   uint16   `cbor:"8,keyasint,omitempty"`
	Covered []string `cbor:"9,keyasint,omitempty"`
	// Services and Demand are sums over these nodes.
	Services  []ServiceSum      `cbor:"10,keyasint,omitempty"`
	Demand    []DemandStat      `cbor:"11,keyasint,omitempty"`
	Instances []InstanceState   `cbor:"12,keyasint,omitempty"`
	Readers   []StoreReader     `cbor:"13,keyasint,omitempty"`
	Crashes   []InstanceCrashes `cbor:"14,keyasint,omitempty"`
	// StateRefreshMS is the time, in milliseconds, within which the states of all instances
	// that Instances is a part of are sent again.
	StateRefreshMS uint32 `cbor:"15,keyasint,omitempty"`
}

// fromRelay reports whether the message is one of a relay.
func (m *Message) fromRelay() bool { return m.Heartbeat == nil && m.Round > 0 }

// ServiceSum is the sum of the heartbeats of the nodes of one service.
type ServiceSum struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Requests is the number of running and queued requests, and Limit the sum of the
	// concurrency limits.
	Requests, Limit float32
	// FirstRuns and Retries are those of Heartbeat.
	FirstRuns, Retries float32
	// Backlog is the number of slots needed to work off the queues; see serviceView.
	Backlog float32
	// Capacities holds the slots by fault share.
	Capacities []CapacityStat
	Roots      []RootStat
}

// CapacityStat is the number of slots at upstreams of about the same fault share.
type CapacityStat struct {
	_ struct{} `cbor:",toarray"`
	// FaultLevel is the fault share in units of 1/faultLevels.
	FaultLevel uint8
	Slots      float32
}

// InstanceState is the state of one node and its upstream as passed on by a relay.
type InstanceState struct {
	_ struct{} `cbor:",toarray"`
	// Address is the IP address of the instance, of 4 or 16 bytes.
	Address     []byte
	Incarnation int64
	Flags       InstanceFlags
	Running     uint16
	Queued      uint16
	Limit       uint16
	// FaultLevel is the fault share in units of 1/faultLevels.
	FaultLevel uint8
	// Routes holds the run times. It is empty in most messages: the receiver keeps the last
	// values.
	Routes []RouteStat
}

// InstanceFlags is a set of properties of an instance.
type InstanceFlags uint8

// The flags.
const (
	// FlagSilent means that the relay misses the heartbeats of the node.
	FlagSilent InstanceFlags = 1 << iota
	// FlagLeaving means that the node is about to stop.
	FlagLeaving
	// FlagReadsStore means that the node is in touch with the store.
	FlagReadsStore
)

// StoreReader is a node in touch with the store, and how current it is.
type StoreReader struct {
	_              struct{} `cbor:",toarray"`
	Address        []byte
	Version        route.Version
	Era            uint64
	Revision       uint64
	RegistryDigest uint32
}

// InstanceCrashes is a page of the crash records of one node.
type InstanceCrashes struct {
	_           struct{} `cbor:",toarray"`
	Address     []byte
	Incarnation int64
	Crashes     []CrashStat
}

// faultLevels is the number of steps in which fault shares are told by relays.
const faultLevels = 32

func faultLevel(share float64) uint8 {
	return uint8(min(max(share, 0), 1)*faultLevels + 0.5)
}

func faultShareOf(level uint8) float64 { return min(float64(level)/faultLevels, 1) }

// encodeAddress returns the bytes of the IP address of an instance, nil if it is none.
func encodeAddress(instance string) []byte {
	address, err := netip.ParseAddr(instance)
	if err != nil {
		return nil
	}
	return address.AsSlice()
}

// decodeAddress returns the IP address of an instance, empty if the bytes are none.
func decodeAddress(b []byte) string {
	address, ok := netip.AddrFromSlice(b)
	if !ok {
		return ""
	}
	return address.String()
}

// The largest encoded sizes, in bytes, of the parts of a message.
const (
	messageHeaderBytes = 60
	coveredBytes       = 2
	serviceSumBytes    = 3 + 5*5 + 2 + 2
	capacityStatBytes  = 8
	rootStatBytes      = 16
	demandStatBytes    = 28
	instanceStateBytes = 1 + 2 + 9 + 2 + 3*3 + 2 + 1
	routeStatBytes     = 15
	storeReaderBytes   = 1 + 2 + 3*9 + 5
)

func (s *ServiceSum) bytes() int {
	return serviceSumBytes + len(s.Service) + len(s.Capacities)*capacityStatBytes + len(s.Roots)*rootStatBytes
}

func (s *InstanceState) bytes() int {
	return instanceStateBytes + len(s.Address) + len(s.Routes)*routeStatBytes
}

func (r *StoreReader) bytes() int { return storeReaderBytes + len(r.Address) }

// Outgoing is a message and the instances to which it is to be sent.
type Outgoing struct {
	To      []string
	Message Message
	// Legacy is set if the recipients read heartbeats in the format of LegacyHeartbeat only.
	Legacy bool
}

// LegacyHeartbeat is the format of heartbeats before messages had versions.
type LegacyHeartbeat struct {
	_              struct{} `cbor:",toarray"`
	Incarnation    int64
	Interval       time.Duration
	Partial        bool
	Leaving        bool
	Version        route.Version
	Era            uint64
	Revision       uint64
	RegistryDigest uint32
	ReadsStore     bool
	Service        string
	Load           Load
	FaultShare     float32
	FirstRuns      float32
	Retries        float32
	Routes         []RouteStat
	Roots          []RootStat
	Demand         []DemandStat
	Crashes        []CrashStat
}
