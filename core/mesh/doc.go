// Package mesh makes the decisions of one node on requests: to which upstream they are
// sent, when they are retried, refused or given up, and which of them run at the local
// upstream. It performs no I/O and reads no clock: time and random seed are passed in.
// A Node is not safe for concurrent use.
//
// # A request
//
// StartCall looks up the route of a request, sets its deadline, and gives it the rank of
// its parent request if that is at the local upstream now. It refuses a request that is
// known to crash upstreams, chooses the service and decides on admission. Calls made by
// upstreams are always admitted. Then it picks an upstream and returns StepSend. The
// program sends the request there and passes the outcome to EndAttempt, which returns
// StepSend for a further attempt or the last step: deliver the answer, refuse (the
// request has not run and never will) or fail (it may have run). If the sender no longer
// waits, AbandonCall ends the call instead.
//
// At the node beside the chosen upstream, OfferWork lets the request run, queues it by
// rank, or refuses it. Requests that are admitted as the minimum of their route have the
// highest priority there. NextWork and ExpireWork decide on queued ones. WorkDone or
// WorkRefused ends it.
//
// An upstream may name a limit in its answers, in requests per second from all instances
// together, or say that it leaves. RecordNotice holds the work at the local upstream to the
// limit until an answer no longer names it. The node where a request entered treats an
// upstream that leaves as draining.
//
// An attempt that neither ran nor reached an upstream is repeated outside the bounds on
// retries. Others are repeated only within them: on any route if the attempt did not run,
// on idempotent routes also after a server error or if it may have run.
//
// # Heartbeats
//
// Each node tells the relays of its data centre its load, fault share, run times per route,
// use of slots per root route, demand of callers, first runs and retries, recent crashes, how
// current its store state is and whether it is about to stop. Partial heartbeats omit run
// times, use and demand. In a data centre of up to maxDirectNodes all nodes tell each other.
//
// The acting relay sends a round every relayInterval, or earlier if much has changed: to the
// nodes of its data centre the sums of the heartbeats there, the sums of all other data
// centres and the states of instances by turns; to the acting relay of each other data centre
// the sums and states of its own. A relay that finds a round missing sends one itself. See
// DueMessages, ReceiveMessage and docs/design/exchange.md.
//
// Once per HeartbeatInterval, UpdatePlan derives from the sums:
//   - Shares. The use of slots divided by the admitted demand is the load per request.
//     From it each node computes the same way which share of each route's demand fits
//     into the slots of all services: first the minimum of every route, a part of what is
//     admitted of all requests, then the most important routes.
//   - Bounds on retries. A node may make a part of the retries allowed at a service, in
//     proportion to the requests it sends there, and its part of the slack. Induced
//     retries are charged too. When the retries that all nodes of a service report come
//     near the bound, every node stops retrying there.
//
// The other uses need no plan. An attempt goes to the cheapest of a few upstreams, by run
// time, load, fault share and data centre. A request that ran at two
// crashes and has not completed since is refused at each node, but for a few trials; see
// package suspect. A node is silent if the acting relay of its data centre missed more than
// four heartbeats (maxMissedHeartbeats) and says so, or if no news of it came for longer. A
// silent or ejected node gets requests only if no other is usable, or as a probe if ejected. Its slots do not count, and a service whose nodes
// are all silent has none.
//
// # Store state
//
// In each data centre the first three nodes in a fixed order that are in touch with the
// store read it; the others follow. A follower, or a node that the store does not answer,
// looks in the heartbeats for a newer table version or position, or for another digest at
// the first reader. A reader does so for a newer table only. The store may be restored from
// an older copy: it then goes on in the next era, and ApplyRead discards a watch that was
// answered there. NewerPeer names the instance to ask, StateSince makes its reply, and
// ApplyState takes it over.
//
// # Terms
//
//   - root: the route of the caller's request, also for all calls made for that request.
//   - rank: the order of requests: priority (0 first), then age since entry.
//   - share: the fraction of a route's requests that is admitted, unless named otherwise.
//   - minimum: the part of a route's share that it gets before more important routes get
//     the rest.
//   - credit: the admissions that a route has saved up; below 0 after a caller's retry.
//   - slot: room for one running request at an upstream.
//   - load: the running and queued requests at an upstream and its limit. Load per
//     request: the mean number of slots that one request per second keeps in use.
//   - visits: the mean number of runs at a service per request of a root route.
//   - fault share: the share of an upstream's runs that failed because of itself.
//   - retry: an attempt after one that reached an upstream, or a call made for its run.
//   - induced retry: a call to a service caused by a retry at another service.
//   - relay, acting relay: a node that gets the heartbeats of its data centre, and the one of
//     them that sends rounds at the moment.
//   - round: the messages that a relay sends at one time.
//   - member: a node of the own data centre.
//   - reader, follower: a node that reads the store, or leaves that to the readers.
//   - position: an era and a revision of the store.
//   - digest: a hash of a node's set of registrations.
//   - parent request: the request at the local upstream for which a call is made.
package mesh
