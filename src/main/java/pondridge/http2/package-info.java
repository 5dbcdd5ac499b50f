/**
 * HTTP/2 towards upstreams, by prior knowledge (RFC 9113, section 3.3). What decides is {@link
 * pondridge.http2.StreamTable}, {@link pondridge.http2.Proof}, {@link pondridge.http2.Liveness}, {@link
 * pondridge.http2.ResetBudget} and {@link pondridge.http2.FloodGuard}; the rest does I/O.
 */
package pondridge.http2;
