/**
 * Knowledge that sidecars share through a store that speaks the protocol of Redis. What the store says is a
 *  hint:
 * no request ever waits for it, and nothing that a rule depends on is read from it.
 */
package pondridge.store;
