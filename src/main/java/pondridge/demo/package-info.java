/**
 * Sites of stand-in servers with gateways and links between them, on loopback: for the demo and for tests.
 */
package pondridge.demo;
