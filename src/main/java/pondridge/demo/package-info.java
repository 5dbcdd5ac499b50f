/**
 * Test bed of sites on loopback, for the demo, drills and tests: stand-in servers, gateways and the links
 * between sites.
 */
package pondridge.demo;
