/** A stand-in for Redis, from its public specification: protocol, commands, expiry, eviction and failures. */
package pondridge.standin.redis;
