/**
 * HTTP/2 connections to upstreams, by prior knowledge (RFC 9113, section 3.3). The decisions are made by {@link
 * pondridge.http2.StreamTable}, {@link pondridge.http2.StreamOutcomeRules}, {@link pondridge.http2.Liveness}, {@link
 * pondridge.http2.ResetBudget} and {@link pondridge.http2.FloodGuard}; the other classes do the I/O.
 */
package pondridge.http2;
