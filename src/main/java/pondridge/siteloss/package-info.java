/**
 * Planning for the loss of sites: which site takes over how much load of which class, what is refused, and which
 * links and sites are the bottlenecks. Pure computation except for reading settings; see
 * docs/site-loss/design.md.
 */
package pondridge.siteloss;
