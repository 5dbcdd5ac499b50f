/**
 * Discrete-event simulation of the load-balancing policy: many instances of it, modelled servers and clients, one
 * event queue, virtual time, no threads and no system clock. The same scenario always gives the same result.
 */
package pondridge.lab;
