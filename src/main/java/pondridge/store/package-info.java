/**
 * Statistics and budget leases that sidecars share through a store that speaks the Redis protocol. Data from
 * the store is only a hint: no request waits for it, and no rule depends on it.
 */
package pondridge.store;
