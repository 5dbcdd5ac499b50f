/**
 * The parts that all protocols share: the engine, which hosts the balancer, and the interfaces to frontends,
 * transports and discovery.
 */
package pondridge.core;
