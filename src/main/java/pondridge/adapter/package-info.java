/** The simulator's wire: reads event frames, drives one module instance a sidecar, writes action frames. */
package pondridge.adapter;
