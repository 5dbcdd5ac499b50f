/**
 * Adapter to the simulator's wire format: reads event frames, runs one balancer instance per sidecar and writes
 * frames of their actions.
 */
package pondridge.adapter;
