/** A stand-in for Redis after its public specification: protocol, commands, expiry, eviction and faults. */
package pondridge.standin.redis;
