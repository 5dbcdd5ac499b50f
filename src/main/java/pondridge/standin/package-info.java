/**
 * The rig: stand-in servers that speak the real protocols and misbehave by script, a link that does, load
 * that does not wait for answers, and the ledger that says whether a rule was broken. Nothing of the sidecar
 * uses it; it ships in the jar for trials.
 */
package pondridge.standin;
