/**
 * Test infrastructure: stand-in servers that speak the real protocols with scripted faults, a relay that
 * injects link faults, an open-loop load generator, and a ledger that checks invariants over executions. The
 * sidecar does not use it; it ships in the jar for test runs and demonstrations.
 */
package pondridge.standin;
