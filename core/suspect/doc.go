// Package suspect decides which requests may run after upstreams crashed while they ran
// them. A request is identified by the fingerprint of its content.
//
// A request that crashes upstreams ends each one that runs it, so it never completes. The
// Table therefore weighs two kinds of evidence, from this node and from reports of others:
// the crashes during which a request ran, and the times at which it completed. A crash
// counts only until the request completes later at any upstream.
//
// # States
//
//   - Clear: no crash counts. The request runs.
//   - Suspected: fewer than MaxCrashes crashes count. It still runs, because most requests
//     at a crash are harmless.
//   - Blocked: MaxCrashes or more count. It does not run, so nothing can clear it.
//   - OnTrial: a blocked request that may run once. Trials are due at fixed times after the
//     last crash, fewer than the upstreams that the request may still crash. One that
//     completes clears the request.
//
// A record of a blocked request ends some time after the last crash, and not before the
// request has stopped coming for as long. Otherwise a request that is sent all the time
// would crash as many upstreams again and again.
//
// # Reports
//
// A node reports the crashes of its own upstream, the requests that it blocks whoever
// reported their crashes, and the former suspects that completed at its upstream. Reports
// carry ages, since clocks differ. The earliest of several reports holds, so that one that
// comes back to its sender cannot make a crash seem later.
package suspect
