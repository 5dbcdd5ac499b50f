/**
 * Decisions of a connection pool, independent of protocol: which attempts wait, which connection each is assigned
 * to, when another connection is dialled, and which connection is evicted for another pool. No I/O, clocks or
 * threads.
 */
package pondridge.pool;
